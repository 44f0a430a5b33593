package availability

import "time"

// Answer is what one response of a server says. It counts for the incarnation to which the request was sent.
type Answer struct {
	// Leaving is set if the server finishes its work and takes no new requests.
	Leaving bool
	// SentAt is when the request was sent, At when the response arrived; the difference bounds the age of the answer.
	SentAt time.Time
	At     time.Time
	// Source names the response in log lines.
	Source string
}
