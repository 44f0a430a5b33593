package bench

import (
	"encoding/json"
	"strconv"
)

// chatBody is the body of a streamed chat completion request.
type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

const userRole = "user"

// generationBody returns the body of a generation request and the prompt that the engine derives from it.
func generationBody(a *Arrival) (body []byte, prompt string) {
	content := Prompt(a)
	// Encoding a struct of strings and numbers cannot fail.
	body, _ = json.Marshal(chatBody{
		Model:     a.Member.Name,
		Stream:    true,
		MaxTokens: a.OutputTokens,
		Messages:  []chatMessage{{Role: userRole, Content: content}},
	})
	return body, userRole + ": " + content + "\n"
}

// callBody returns the body of a service call. A repeated call has the same nonce and so the same body.
func callBody(a *Arrival) []byte {
	return []byte(`{"crew":"` + strconv.FormatUint(a.Nonce, 36) + `"}`)
}
