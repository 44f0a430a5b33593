package engine

// StreamEvent is one event of a generation stream in the format of the OpenAI API.
type StreamEvent struct {
	// ID is the request id, optionally with the prefix cmpl- or chatcmpl-.
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Tokens is the number of tokens in this event; engines that omit it send one token per event.
	Tokens *uint32 `json:"tokens,omitempty"`
	Usage  *Usage  `json:"usage,omitempty"`
	// Error is set on the last event of a generation that the engine aborted.
	Error *ErrorDetail `json:"error,omitempty"`
}

// Choice is a choice of the OpenAI API. Completions use Text, chat completions use Delta in streams.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a chat message, or the part of one in a stream event.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage is the token count of a request.
type Usage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
}

// belongsTo reports whether the event carries the id of the request.
func (e StreamEvent) belongsTo(requestID string) bool {
	return e.ID == requestID || e.ID == "cmpl-"+requestID || e.ID == "chatcmpl-"+requestID
}

// chunk converts the event to a Chunk.
func (e StreamEvent) chunk() Chunk {
	var c Chunk
	for _, choice := range e.Choices {
		c.Text += choice.Text
		if choice.Delta != nil {
			c.Text += choice.Delta.Content
		}
		if choice.FinishReason != nil {
			c.FinishReason = *choice.FinishReason
		}
	}
	switch {
	case e.Tokens != nil:
		c.Tokens = *e.Tokens
	case c.Text != "":
		c.Tokens = 1
	}
	e.addUsage(&c)
	return c
}

func (e StreamEvent) addUsage(c *Chunk) {
	if e.Usage != nil {
		c.PromptTokens = e.Usage.PromptTokens
		c.CompletionTokens = e.Usage.CompletionTokens
	}
}
