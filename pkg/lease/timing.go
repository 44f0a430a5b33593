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
}

// handoverMargin covers orders that are still on the way when the validity ends.
const handoverMargin = 300 * time.Millisecond

// NewTiming returns the periods for a platform that requires holders to be separated by handover.
func NewTiming(handover time.Duration) Timing {
	return Timing{
		Validity: 2500 * time.Millisecond, // two renewals may be lost without losing the lease
		Renew:    900 * time.Millisecond,
		TakeOver: 2700 * time.Millisecond, // longer than Validity, so that a live holder is rarely replaced
		Handover: handover + handoverMargin,
	}
}
