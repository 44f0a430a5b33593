package engine

import (
	"encoding/json"

	"trefoilferry.example/ferry/pkg/failure"
)

// generateBody returns the caller's body with the fields that the client sets. Fields of the caller with the
// client's names are replaced, so that a caller cannot set a priority or a resume text.
func generateBody(req GenerateRequest) ([]byte, error) {
	fields := map[string]any{}
	var caller map[string]json.RawMessage
	if err := json.Unmarshal(req.Body, &caller); err != nil || caller == nil {
		return nil, failure.Wrap(failure.BadRequest, failure.NotRun, "body must be a JSON object", err)
	}
	for name, value := range caller {
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
		return nil, failure.Wrap(failure.BadRequest, failure.NotRun, "body does not encode", err)
	}
	return data, nil
}
