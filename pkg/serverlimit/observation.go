package serverlimit

import "time"

// Observation is what a response of a server told about its limit.
type Observation struct {
	// Rate is the limit in requests per second; 0 for none.
	Rate float64
	// At is when the response arrived.
	At time.Time
}

// observationTime is how long a limit holds that no further response confirms. A server that is no longer in trouble may
// get too few requests to say so.
const observationTime = 10 * time.Second

// limits reports whether the observation limits the requests now.
func (o *Observation) limits(now time.Time) bool {
	return o.Rate > 0 && now.Sub(o.At) < observationTime
}

// burst is the number of requests within Span beyond the limit, as of a token bucket; it lets a server with a very low
// limit get any.
const burst = 1

// perSpan returns the number of requests that the server takes within Span.
func (o *Observation) perSpan() float64 { return o.Rate*Span.Seconds() + burst }
