package object

import "time"

// Model is a published language model.
type Model struct {
	Name string
	// Version of the weights; a change of version replaces the copies.
	Version string
	// Bytes is the accelerator memory of one copy in bytes.
	Bytes uint64
	// MinCopies is the number of floor copies, in different failure domains where possible.
	MinCopies int
	// FirstToken is the target for the time to the first token.
	FirstToken time.Duration
	// BetweenTokens is the target for the time between tokens.
	BetweenTokens time.Duration
	// Priority is higher for requests to be served first.
	Priority int32
	// MaxTokens is the largest number of tokens that one request may generate.
	MaxTokens uint32
}
