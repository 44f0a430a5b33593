package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// DefaultBase is the mean of the first delay between attempts.
	DefaultBase = 10 * time.Millisecond
	// DefaultCap bounds the mean delay between attempts.
	DefaultCap = 500 * time.Millisecond
	// multiplier is the growth of the delay from attempt to attempt.
	multiplier = 2
	// jitter spreads each delay over 50% to 150%, so that requests that failed together do not return together.
	jitter = 0.5
)

// NewBackoff returns the delays between the attempts of one request.
func NewBackoff(base, limit time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = base
	b.MaxInterval = limit
	b.Multiplier = multiplier
	b.RandomizationFactor = jitter
	return b
}
