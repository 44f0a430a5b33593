package gateway

import "time"

// RequestMeta is the metadata that a caller sends in the header of its request.
type RequestMeta struct {
	RequestID string
	// Timeout is how long the caller waits for the response, from when it sent the request; 0 if the header does not state
	// it.
	Timeout time.Duration
	Model   string
	// Adapter is empty for requests to the model itself.
	Adapter              string
	PromptTokens         int
	MaxOutputTokens      int
	ExpectedOutputTokens int
	Prompt               []PromptPart
	// LastEventID is the last event that the caller received of a stream that it wants to resume; empty otherwise.
	LastEventID string
	// Credential is what the caller shows to belong to a workspace.
	Credential Credential
}
