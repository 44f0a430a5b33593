package engine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// BytesPerToken is the length of a prompt token in the model engines, in bytes.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one block of the prefix cache.
	BlockTokens = 64
	// blockBytes is the prompt length of one block of the prefix cache.
	blockBytes = BlockTokens * BytesPerToken
	// routingPrefixBlocks is the number of prompt blocks that select a runner: enough to distinguish system prompts, and
	// few enough that all turns of a conversation go to the same runner.
	routingPrefixBlocks = 4
)

// PromptText returns the prompt in a caller's body: the prompt field of a completion, or the roles and texts of all
// messages of a chat. A body without a prompt fails with code BadRequest.
func PromptText(chat bool, body []byte) (string, error) {
	var fields struct {
		Prompt   json.RawMessage `json:"prompt"`
		Messages []struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return "", failure.Wrap(failure.BadRequest, failure.NotRun, "cannot decode request body", err)
	}
	if !chat {
		return contentText(fields.Prompt)
	}
	if len(fields.Messages) == 0 {
		return "", failure.New(failure.BadRequest, failure.NotRun, "messages are missing")
	}
	var b strings.Builder
	for _, m := range fields.Messages {
		content, err := contentText(m.Content)
		if err != nil {
			return "", err
		}
		b.WriteString(m.Role + ": " + content + "\n")
	}
	return b.String(), nil
}

// contentText returns the text of a JSON string, of a list of strings or of a list of objects with a text field; the
// elements of a list are concatenated.
func contentText(data json.RawMessage) (string, error) {
	var single string
	if json.Unmarshal(data, &single) == nil {
		return single, nil
	}
	var list []string
	if json.Unmarshal(data, &list) == nil {
		return strings.Join(list, ""), nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return "", failure.Wrap(failure.BadRequest, failure.NotRun, "prompt is missing or not text", err)
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// PromptTokens returns the number of tokens in a prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// PrefixHashes returns the prefix hashes that cache events carry: element i is the hash of model, adapter and the first
// i+1 complete blocks of the prompt. The same input has the same hashes on all engines.
func PrefixHashes(model, adapter, prompt string) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model + "\x00" + adapter + "\x00")
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	for len(prompt) >= blockBytes {
		_, _ = digest.WriteString(prompt[:blockBytes])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[blockBytes:]
	}
	return hashes
}

// RoutingPrefixHash returns the prefix hash by which a runner is selected and its cached tokens are predicted: that of
// the first 4 blocks, or of all complete blocks of a shorter prompt; 0 if the prompt is shorter than one block.
func RoutingPrefixHash(model, adapter, prompt string) uint64 {
	hashes := PrefixHashes(model, adapter, prompt[:min(len(prompt), routingPrefixBlocks*blockBytes)])
	if len(hashes) == 0 {
		return 0
	}
	return hashes[len(hashes)-1]
}
