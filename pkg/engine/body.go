package engine

import (
	"encoding/json"

	"trefoilferry.example/ferry/pkg/failure"
)

// generateBody returns the caller's JSON body with the fields that the client sets. Caller fields with the same names
// are replaced or deleted, so that a caller cannot set the priority or the resume text.
func generateBody(req GenerateRequest) ([]byte, error) {
	fields := map[string]any{}
	var callerFields map[string]json.RawMessage
	if err := json.Unmarshal(req.Body, &callerFields); err != nil || callerFields == nil {
		return nil, failure.Wrap(failure.BadRequest, failure.NotRun, "body must be a JSON object", err)
	}
	for name, value := range callerFields {
		fields[name] = value
	}
	fields["model"] = req.Model
	fields["stream"] = true
	fields["stream_options"] = map[string]bool{"include_usage": true}
	fields["priority"] = req.Priority
	for _, name := range []string{"adapter", "resume_text", "resume_tokens"} {
		delete(fields, name)
	}
	if req.Adapter != "" {
		fields["adapter"] = req.Adapter
	}
	if req.ResumeText != "" {
		fields["resume_text"] = req.ResumeText
		fields["resume_tokens"] = req.ResumeTokens
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, failure.NotRun, "cannot encode request body", err)
	}
	return data, nil
}
