package bench

import "time"

// Member is a model or adapter that requests address.
type Member struct {
	Name string
	// Model is the name of the base model. Adapter is the name of the adapter; empty if the member is a model.
	Model   string
	Adapter string
	// FirstToken and BetweenTokens are the latency targets of the base model: until the first token, and the mean between
	// tokens.
	FirstToken    time.Duration
	BetweenTokens time.Duration
}
