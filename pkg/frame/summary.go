package frame

// Summary describes a complete answer.
type Summary struct {
	// FinishReason is the reason of a generation's end in OpenAI terms.
	FinishReason string
	// PromptTokens and CompletionTokens are counted as the engine does: resumed tokens are included.
	PromptTokens     uint32
	CompletionTokens uint32
}
