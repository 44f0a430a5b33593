package gateway

// PromptPart is one part of a prompt. Requests share leading parts; the last one is the request's own.
type PromptPart struct {
	ID     string
	Tokens int
}
