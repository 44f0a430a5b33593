package queue

import (
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Prediction is how a request would be served if it arrived now.
type Prediction struct {
	// FirstToken is the time until the first token.
	FirstToken time.Duration
	// BetweenTokens is the time between two tokens; 0 while unknown.
	BetweenTokens time.Duration
	// Refusal is nil if the request would be admitted.
	Refusal *failure.Failure
}
