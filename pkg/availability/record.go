package availability

import "time"

// record is what one incarnation has said.
type record struct {
	leaving bool
	// leavingSince is when the first response said so.
	leavingSince time.Time
	// lastAt is when the last response that changed the record arrived.
	lastAt time.Time
}
