package idempotency

import "time"

// phase is the state of a request in the claim protocol.
type phase int

const (
	// queued: the claim waits for the next append.
	queued phase = iota
	// appending: the claim is in the pending batch.
	appending
	// awaitingReadBack: the claim is stored at a known offset and its record was not read back yet.
	awaitingReadBack
	// awaitingResult: another claim holds the key, and the request waits for its result.
	awaitingResult
	// granted: the request has permission to run.
	granted
	// withdrawn: the request has ended without permission, but its claim may be stored and then must be abandoned.
	withdrawn
)

// request is a request with an idempotency key.
type request struct {
	id      uint64
	key     string
	hash    uint64
	claimID string
	phase   phase
	// arrivedAt is the time of Acquire.
	arrivedAt time.Time
	// appendStartedAt is the time at which the append of the claim was started.
	appendStartedAt time.Time
	// offset is the offset of the claim's record; 0 while unknown.
	offset uint64
}
