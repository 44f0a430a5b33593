package entry

import "encoding/json"

// openaiForm renders answers in the form of the OpenAI interface.
type openaiForm struct {
	chat    bool
	id      string
	model   string
	created int64
}

type openaiAnswer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []openaiChoice `json:"choices"`
	Usage   *openaiUsage   `json:"usage,omitempty"`
}

type openaiChoice struct {
	Index        int          `json:"index"`
	Message      *openaiDelta `json:"message,omitempty"`
	Delta        *openaiDelta `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	Logprobs     *struct{}    `json:"logprobs"`
	FinishReason *string      `json:"finish_reason"`
}

type openaiDelta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type openaiUsage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
}

func usageOf(u Usage) *openaiUsage {
	return &openaiUsage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		TotalTokens:      u.PromptTokens + u.CompletionTokens,
	}
}

// whole renders a complete answer.
func (f openaiForm) whole(text string, u Usage) []byte {
	choice := openaiChoice{FinishReason: &u.FinishReason}
	name := "text_completion"
	if f.chat {
		name = "chat.completion"
		choice.Message = &openaiDelta{Role: "assistant", Content: &text}
	} else {
		choice.Text = &text
	}
	return f.render(name, []openaiChoice{choice}, usageOf(u))
}

// chunk renders a part of a streamed answer. An empty finish means that more follows.
func (f openaiForm) chunk(text string, first bool, finish string) []byte {
	choice := openaiChoice{}
	if finish != "" {
		choice.FinishReason = &finish
	}
	if f.chat {
		choice.Delta = &openaiDelta{}
		if first {
			choice.Delta.Role = "assistant"
		}
		if finish == "" {
			choice.Delta.Content = &text
		}
	} else {
		choice.Text = &text
	}
	return f.render(f.chunkName(), []openaiChoice{choice}, nil)
}

// usage renders the chunk that follows the last choice when the caller asked for usage.
func (f openaiForm) usage(u Usage) []byte {
	return f.render(f.chunkName(), []openaiChoice{}, usageOf(u))
}

func (f openaiForm) chunkName() string {
	if f.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

func (f openaiForm) render(name string, choices []openaiChoice, usage *openaiUsage) []byte {
	prefix := "cmpl-"
	if f.chat {
		prefix = "chatcmpl-"
	}
	answer := openaiAnswer{ID: prefix + f.id, Object: name, Created: f.created, Model: f.model, Choices: choices, Usage: usage}
	// The structs hold strings and numbers only, which always encode.
	data, _ := json.Marshal(answer)
	return data
}
