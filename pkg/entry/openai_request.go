package entry

import (
	"encoding/json"
	"strconv"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
)

// openaiRequest holds the fields of a generation request that the entry host uses. The body is passed on unchanged, and
// the engine reads the other fields.
type openaiRequest struct {
	Model               string          `json:"model"`
	Messages            []openaiMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
	BestOf              *int64          `json:"best_of"`
	Echo                bool            `json:"echo"`
	Tools               []any           `json:"tools"`
	Functions           []any           `json:"functions"`
	Logprobs            any             `json:"logprobs"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type openaiMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseOpenAI parses the body of a generation request and returns it with the text of the prompt. Failures have code
// BadRequest.
func parseOpenAI(body []byte, chat bool) (*openaiRequest, string, *failure.Failure) {
	r := &openaiRequest{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, "", failure.Wrap(failure.BadRequest, failure.NotRun, "the body is not a valid JSON request", err)
	}
	if r.Model == "" {
		return nil, "", badRequest("model is missing")
	}
	if f := r.checkSupported(); f != nil {
		return nil, "", f
	}
	if chat {
		prompt, f := messagesText(r.Messages)
		return r, prompt, f
	}
	prompt, ok := contentText(r.Prompt)
	if !ok {
		return nil, "", badRequest("prompt must be a single string")
	}
	return r, prompt, nil
}

// checkSupported refuses options whose results cannot be sent as a text stream. Ignoring them silently would return
// something else than the caller requested.
func (r *openaiRequest) checkSupported() *failure.Failure {
	switch {
	case r.N != nil && *r.N != 1, r.BestOf != nil && *r.BestOf != 1:
		return badRequest("only one choice per request is supported")
	case r.Echo:
		return badRequest("echo is not supported")
	case len(r.Tools) > 0 || len(r.Functions) > 0:
		return badRequest("tools are not supported")
	case r.Logprobs != nil && r.Logprobs != false:
		return badRequest("logprobs are not supported")
	}
	return nil
}

// maxTokens returns the caller's limit on generated tokens; 0 means none.
func (r *openaiRequest) maxTokens() (uint32, *failure.Failure) {
	const maxAllowed = 1 << 24
	limit := uint32(0)
	for _, value := range []*int64{r.MaxTokens, r.MaxCompletionTokens} {
		if value == nil {
			continue
		}
		if *value < 1 || *value > maxAllowed {
			return 0, badRequest("max_tokens is out of range: got " + strconv.FormatInt(*value, 10) + ", want 1 to " + strconv.Itoa(maxAllowed))
		}
		if limit != 0 && uint32(*value) != limit {
			return 0, badRequest("max_tokens and max_completion_tokens differ")
		}
		limit = uint32(*value)
	}
	return limit, nil
}

// messagesText returns the prompt for a list of messages: one line for each, with the role and the text.
func messagesText(messages []openaiMessage) (string, *failure.Failure) {
	if len(messages) == 0 {
		return "", badRequest("messages are missing")
	}
	var b strings.Builder
	for _, m := range messages {
		text, ok := contentText(m.Content)
		if !ok {
			return "", badRequest("the content of a message must be text")
		}
		b.WriteString(m.Role + ": " + text + "\n")
	}
	return b.String(), nil
}

// contentText returns the text of a JSON value that is a string, a list with one string, or a list of text parts, which
// are concatenated. It returns false for any other value.
func contentText(data json.RawMessage) (string, bool) {
	var one string
	if json.Unmarshal(data, &one) == nil && len(data) > 0 && string(data) != "null" {
		return one, true
	}
	var list []string
	if json.Unmarshal(data, &list) == nil && len(list) == 1 {
		return list[0], true
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(data, &parts) != nil || len(parts) == 0 {
		return "", false
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		b.WriteString(p.Text)
	}
	return b.String(), true
}

func badRequest(message string) *failure.Failure {
	return failure.New(failure.BadRequest, failure.NotRun, message)
}
