// Package clock gives the time to code that must not read the wall clock itself.
package clock

import "time"

// Clock tells the time. Times from one clock carry a monotonic reading, so that differences survive steps of the wall clock.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the host.
type System struct{}

// Now returns the time of the host.
func (System) Now() time.Time { return time.Now() }

// After waits for d on the monotonic clock of the host.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }
