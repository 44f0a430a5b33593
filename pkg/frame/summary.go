package frame

// Summary holds the fields of an end frame that describe a complete generation.
type Summary struct {
	// FinishReason is the finish_reason of the OpenAI API, such as stop or length.
	FinishReason string
	// PromptTokens and CompletionTokens are the counts of the engine; they include the tokens of a resume text.
	PromptTokens     uint32
	CompletionTokens uint32
}
