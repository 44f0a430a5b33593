// Package clock defines the clock of code that must not read the system clock directly, so that tests can replace it.
package clock

import "time"

// Clock returns the current time. Its times include a monotonic clock reading, so that steps of the wall clock do not
// affect differences between them.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel on which the time is sent once d has elapsed.
	After(d time.Duration) <-chan time.Time
}

// System is the system clock of the host.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// After implements Clock with the monotonic clock of the host.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }
