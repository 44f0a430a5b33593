package lease

import "time"

// Timing holds the periods of the lease.
type Timing struct {
	// Validity is how long a renewal counts from the moment it was sent.
	Validity time.Duration
	// Renew is the period of renewals.
	Renew time.Duration
	// TakeOver is the time without a renewal after which another daemon takes the lease.
	TakeOver time.Duration
	// Handover separates the last order of one holder from the first order of the next.
	Handover time.Duration
	// Fenced is set when all backend servers refuse lower fencing numbers; Validity and Handover are then not used.
	Fenced bool
}

// handoverMargin covers orders that are still on the way when the validity ends.
const handoverMargin = 300 * time.Millisecond

// NewTiming returns the periods for backend servers that do not check fencing numbers: two holders must never act
// within handover of each other.
func NewTiming(handover time.Duration) Timing {
	return Timing{
		Validity: 2500 * time.Millisecond, // two renewals may be lost without losing the lease
		Renew:    900 * time.Millisecond,
		TakeOver: 2700 * time.Millisecond, // longer than Validity, so that a live holder is rarely replaced
		Handover: handover + handoverMargin,
	}
}

// NewFencedTiming returns the periods for backend servers that refuse lower fencing numbers. An old holder does no harm
// there, so a holder goes on while the store is out of reach, and the next one acts at once.
func NewFencedTiming() Timing {
	return Timing{
		Renew:    800 * time.Millisecond,
		TakeOver: 1700 * time.Millisecond, // two renewals may be lost
		Fenced:   true,
	}
}
