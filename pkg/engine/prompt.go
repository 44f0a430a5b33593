package engine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// BytesPerToken is the length of a prompt token of the model engines, in bytes.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one block of the prefix cache.
	BlockTokens = 64
	// blockBytes is the length of one block of the prefix cache.
	blockBytes = BlockTokens * BytesPerToken
	// routingBlocks is the number of blocks that choose a runner: enough to tell system prompts apart, and few
	// enough that the turns of one conversation stay together.
	routingBlocks = 4
)

// PromptText returns the prompt of a caller's body: the prompt of a completion, or role and text of all messages of
// a chat. Bodies without one fail with code BadRequest.
func PromptText(chat bool, body []byte) (string, error) {
	var fields struct {
		Prompt   json.RawMessage `json:"prompt"`
		Messages []struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return "", failure.Wrap(failure.BadRequest, failure.NotRun, "body does not decode", err)
	}
	if !chat {
		return text(fields.Prompt)
	}
	if len(fields.Messages) == 0 {
		return "", failure.New(failure.BadRequest, failure.NotRun, "messages are missing")
	}
	var b strings.Builder
	for _, m := range fields.Messages {
		content, err := text(m.Content)
		if err != nil {
			return "", err
		}
		b.WriteString(m.Role + ": " + content + "\n")
	}
	return b.String(), nil
}

// text returns a JSON string, or the concatenation of a list of strings or of parts with a text.
func text(data json.RawMessage) (string, error) {
	var one string
	if json.Unmarshal(data, &one) == nil {
		return one, nil
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

// PrefixHashes returns the hashes that cache events name: element i stands for the first i+1 whole blocks of the
// prompt, as seen by the model with the adapter. Models with equal names share hashes over all engines.
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

// RoutingPrefix returns the element of PrefixHashes that requests carry to choose a runner and to predict its cached
// tokens: the one of the first 4 blocks, or of all whole blocks of a shorter prompt; 0 for less than one block.
func RoutingPrefix(model, adapter, prompt string) uint64 {
	hashes := PrefixHashes(model, adapter, prompt[:min(len(prompt), routingBlocks*blockBytes)])
	if len(hashes) == 0 {
		return 0
	}
	return hashes[len(hashes)-1]
}
