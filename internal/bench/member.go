package bench

import "time"

// Member is a model or an adapter that requests address.
type Member struct {
	Name string
	// Model is the base model; Adapter is empty for a model.
	Model   string
	Adapter string
	// FirstToken and BetweenTokens are the targets of the base model.
	FirstToken    time.Duration
	BetweenTokens time.Duration
}
