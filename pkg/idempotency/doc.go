// Package idempotency gives the right to run the request of an idempotency key to at most one claim.
//
// Fold replays the key stream of one plain service: the first claim of a key wins by log order. Claims is the
// pure state machine of one agent, and Keeper runs it for the agent's traffic goroutines.
package idempotency

import "time"

const (
	// DefaultKeyRetention is the time for which a key is remembered.
	DefaultKeyRetention = 24 * time.Hour
	// ExecuteWithin is the time from the append of a claim within which its request may be started. A winner that
	// was paused for longer gives up, because its caller has gone.
	ExecuteWithin = 5 * time.Second
	// DefaultWaitDone is the time that a losing request waits for the winner's result.
	DefaultWaitDone = 3 * time.Second
	// MaxBody is the size in bytes up to which a response body is stored.
	MaxBody = 16 << 10
	// minInterval and appendsPerSecond bound the appends of all agents of a service together.
	minInterval      = 20 * time.Millisecond
	appendsPerSecond = 150
)

// Interval returns the time between two appends of one agent when a service has that many runners.
func Interval(runners int) time.Duration {
	return max(minInterval, time.Duration(runners)*time.Second/appendsPerSecond)
}

// StreamName returns the key stream of a service.
func StreamName(service string) string { return "keys." + service }
