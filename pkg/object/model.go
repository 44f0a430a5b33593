package object

import "time"

// Model is a published language model.
type Model struct {
	Name string
	// Version is the version of the weights. When it changes, all copies are replaced.
	Version string
	// MemoryBytes is the accelerator memory that one copy takes.
	MemoryBytes uint64
	// MinCopies is the number of copies that are always kept, in different failure domains where possible.
	MinCopies int
	// FirstTokenTarget is the target for the time from a request to its first token.
	FirstTokenTarget time.Duration
	// BetweenTokensTarget is the target for the time between consecutive tokens.
	BetweenTokensTarget time.Duration
	// Priority is the priority of requests for the model; higher values are served first.
	Priority int32
	// MaxTokens is the maximum number of tokens that one request may generate.
	MaxTokens uint32
}
