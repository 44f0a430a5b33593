package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// DefaultBase is the mean first delay between attempts.
	DefaultBase = 10 * time.Millisecond
	// DefaultCap bounds the mean delay between attempts.
	DefaultCap = 500 * time.Millisecond
	// multiplier is the factor by which the delay grows from attempt to attempt.
	multiplier = 2
	// jitter randomizes each delay between 50% and 150%, so that requests that failed together are not retried together.
	jitter = 0.5
)

// NewBackoff returns an exponential backoff with jitter for the attempts of one request. base is the mean first delay
// and limit bounds the mean delay.
func NewBackoff(base, limit time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = base
	b.MaxInterval = limit
	b.Multiplier = multiplier
	b.RandomizationFactor = jitter
	return b
}
