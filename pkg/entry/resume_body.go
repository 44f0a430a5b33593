package entry

import "encoding/json"

// body returns the request body of the next attempt. A resumed generation may only generate the tokens that are left,
// so the caller's limits are replaced.
func (j *job) body() []byte {
	if !j.request.generation() || !j.started() || j.request.MaxTokens == 0 {
		return j.request.Body
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(j.request.Body, &fields) != nil {
		return j.request.Body
	}
	left, _ := json.Marshal(j.left())
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if _, ok := fields[name]; ok {
			fields[name] = left
		}
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return j.request.Body
	}
	return body
}
