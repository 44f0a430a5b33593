// Package idempotency runs requests with the same idempotency key at most once.
//
// An agent that receives such a request appends a claim for the key to the key stream of the service, a stream of the log
// service. The first claim in the stream wins: its agent runs the request and appends the result, and the agents of other
// claims replay that result.
//
// Fold is the state built from the records of a key stream. ClaimProtocol is the state machine of the protocol for one
// agent, without I/O. Manager connects it to log and clock for the goroutines that serve requests.
package idempotency

import "time"

const (
	// DefaultKeyRetention is the time after its claim for which a key is kept.
	DefaultKeyRetention = 24 * time.Hour
	// StartWindow is the time after the start of a claim's append within which its request may be started. A winner that
	// was paused for longer does not run the request, because its caller no longer waits.
	StartWindow = 5 * time.Second
	// DefaultResultWait is the default of ProtocolConfig.ResultWait.
	DefaultResultWait = 3 * time.Second
	// MaxStoredBodyBytes is the largest response body that is stored, in bytes.
	MaxStoredBodyBytes = 16 << 10
	// minInterval is the shortest time between two appends of one agent, and appendsPerSecond the largest rate of all
	// agents of a service together.
	minInterval      = 20 * time.Millisecond
	appendsPerSecond = 150
)

// AppendInterval returns the shortest time between two appends of one agent of a service with that many runners.
func AppendInterval(runners int) time.Duration {
	return max(minInterval, time.Duration(runners)*time.Second/appendsPerSecond)
}

// StreamName returns the name of the key stream of a service.
func StreamName(service string) string { return "keys." + service }
