package gateway

import "time"

// Meta is what a caller states about its request.
type Meta struct {
	RequestID string
	// Patience is how long the caller waits from the moment it sent the request; 0 when not stated.
	Patience time.Duration
	Model    string
	// Adapter is empty for requests to the model itself.
	Adapter              string
	PromptTokens         int
	MaxOutputTokens      int
	ExpectedOutputTokens int
	Prompt               []PromptPart
	// LastEventID is the last event that the caller has of a stream it resumes.
	LastEventID string
}
