package allowance

import "time"

// Result tells whether a request may use its units.
type Result struct {
	Taken bool
	// RetryAfter is the time until the allowance covers the request, as the holder last told, when it was not taken. It is 0
	// if that is unknown or the next answer of the holder may lend what is missing.
	RetryAfter time.Duration
}
