package gateway

// PromptPart is one part of a prompt. Requests can share their leading parts; the last part is unique to the request.
type PromptPart struct {
	ID     string
	Tokens int
}
