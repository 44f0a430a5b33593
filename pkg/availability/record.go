package availability

import "time"

// record is what one incarnation has said.
type record struct {
	leaving bool
	// leavingSince is when the first response said so.
	leavingSince time.Time
	// leavingSentAt is when the newest request was sent whose response said so.
	leavingSentAt time.Time
	// pause is nil for none.
	pause *pause
	// lastAt is when the last response that changed the record arrived.
	lastAt time.Time
}
