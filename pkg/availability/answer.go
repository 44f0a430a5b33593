package availability

import "time"

// Answer is what one response of a server says. It counts for the incarnation to which the request was sent.
type Answer struct {
	// Leaving is set if the server finishes its work and takes no new requests.
	Leaving bool
	// Pause is how long the server, which refused the request, wants no further ones; 0 for no pause.
	Pause time.Duration
	// Accepted is set if the server has not refused the request.
	Accepted bool
	// SentAt is when the request was sent, At when the response arrived; the difference bounds the age of the answer.
	SentAt time.Time
	At     time.Time
	// Source names the response in log lines.
	Source string
}
