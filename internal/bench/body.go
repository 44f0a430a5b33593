package bench

import (
	"encoding/json"
	"strconv"
)

// chatBody is the body of a streamed generation.
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

// generationBody returns the body of a generation and the prompt that the engine derives from it.
func generationBody(a *Arrival) (body []byte, prompt string) {
	content := Prompt(a)
	// A struct of strings and numbers always encodes.
	body, _ = json.Marshal(chatBody{
		Model:     a.Member.Name,
		Stream:    true,
		MaxTokens: a.AnswerTokens,
		Messages:  []chatMessage{{Role: userRole, Content: content}},
	})
	return body, userRole + ": " + content + "\n"
}

// callBody returns the body of a service call; repeated calls have equal bodies.
func callBody(a *Arrival) []byte {
	return []byte(`{"crew":"` + strconv.FormatUint(a.Nonce, 36) + `"}`)
}
