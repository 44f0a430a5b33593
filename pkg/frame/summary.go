package frame

// Summary describes a complete answer.
type Summary struct {
	// FinishReason is the reason of a generation's end in OpenAI terms.
	FinishReason string
	// PromptTokens and CompletionTokens count this attempt's tokens.
	PromptTokens     uint32
	CompletionTokens uint32
}
