package retry

import "time"

// State is what is known about a request when an attempt has failed.
type State struct {
	Now time.Time
	// Attempts is the number of attempts that were sent, the failed one included.
	Attempts int
	// MaxAttempts bounds Attempts.
	MaxAttempts int
	// Delivered is set when the caller has already received a part of the answer.
	Delivered bool
	// Resumable is set when the answer can be continued from its text.
	Resumable bool
	// Delay is the next backoff delay.
	Delay time.Duration
}
