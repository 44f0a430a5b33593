package idempotency

import "time"

// phase is the progress of one request.
type phase int

const (
	// queued marks a claim that waits for the next append.
	queued phase = iota
	// issued marks a claim in the outstanding append.
	issued
	// stored marks a claim whose offset is known and whose record is not yet read back.
	stored
	// losing marks a request that waits for the result of another claim.
	losing
	// running marks a claim with permission to run.
	running
	// withdrawn marks a claim whose request was refused while its record may be stored.
	withdrawn
)

// request is one keyed request of an agent.
type request struct {
	id      uint64
	key     string
	hash    uint64
	claimID string
	phase   phase
	// arrived is the time of the request.
	arrived time.Time
	// issuedAt is the time at which the append of the claim was issued.
	issuedAt time.Time
	// offset of the claim's record; 0 while unknown.
	offset uint64
}
