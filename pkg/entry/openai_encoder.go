package entry

import "encoding/json"

// openaiEncoder encodes responses in the format of the OpenAI API.
type openaiEncoder struct {
	// chat selects the format of chat completions instead of that of completions.
	chat  bool
	id    string
	model string
	// created is a Unix time in seconds.
	created int64
}

type openaiResponse struct {
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

func toOpenAIUsage(u Usage) *openaiUsage {
	return &openaiUsage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		TotalTokens:      u.PromptTokens + u.CompletionTokens,
	}
}

// response encodes a complete response.
func (f openaiEncoder) response(text string, u Usage) []byte {
	choice := openaiChoice{FinishReason: &u.FinishReason}
	name := "text_completion"
	if f.chat {
		name = "chat.completion"
		choice.Message = &openaiDelta{Role: "assistant", Content: &text}
	} else {
		choice.Text = &text
	}
	return f.encode(name, []openaiChoice{choice}, toOpenAIUsage(u))
}

// chunk encodes a chunk of a streamed response. A finish reason marks the last one; it is empty for all others.
func (f openaiEncoder) chunk(text string, first bool, finish string) []byte {
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
	return f.encode(f.chunkObject(), []openaiChoice{choice}, nil)
}

// usage encodes the chunk after the last choice, which is sent if the caller requested usage.
func (f openaiEncoder) usage(u Usage) []byte {
	return f.encode(f.chunkObject(), []openaiChoice{}, toOpenAIUsage(u))
}

func (f openaiEncoder) chunkObject() string {
	if f.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

func (f openaiEncoder) encode(name string, choices []openaiChoice, usage *openaiUsage) []byte {
	prefix := "cmpl-"
	if f.chat {
		prefix = "chatcmpl-"
	}
	response := openaiResponse{ID: prefix + f.id, Object: name, Created: f.created, Model: f.model, Choices: choices, Usage: usage}
	// Encoding cannot fail: the structs have only strings and numbers.
	data, _ := json.Marshal(response)
	return data
}
