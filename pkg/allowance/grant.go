package allowance

import "time"

// Grant answers a Use.
type Grant struct {
	ID uint64
	// Units are lent in addition to what the daemon has.
	Units float64
	// Hold is what the daemon may keep while no request waits.
	Hold float64
	// Pace is what the daemon may use a second for a short time after the holder has stopped lending.
	Pace float64
	// Reserve is what it may use then besides.
	Reserve float64
	// Valid is how long after its report the daemon may use what it has.
	Valid time.Duration
	// Wait is the time until the allowance covers what all daemons want of it; 0 if it does now.
	Wait time.Duration
}
