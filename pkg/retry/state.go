package retry

import "time"

// State describes a request after a failed attempt.
type State struct {
	Now time.Time
	// Attempts is the number of attempts that were sent, including the failed one.
	Attempts int
	// MaxAttempts bounds Attempts.
	MaxAttempts int
	// Delivered is set if the caller has already received a part of the response.
	Delivered bool
	// Resumable is set if a broken response can be continued after the text that was delivered.
	Resumable bool
	// Delay is the next backoff delay.
	Delay time.Duration
}
