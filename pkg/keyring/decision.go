package keyring

import "time"

// Decision is what follows from the key of a request.
type Decision int

const (
	// Accept means that a workspace holds the key.
	Accept Decision = iota
	// Refuse means that no workspace holds the key.
	Refuse
	// LookAgain means that a newer configuration may hold the key, and should be waited for.
	LookAgain
	// TooOld means that what is known of the keys is too old to accept or refuse any.
	TooOld
)

// Knowledge is how old a daemon's configuration is and how long it may be relied on.
type Knowledge struct {
	// Age is the time since the configuration was last shown to be the newest, by a clock that counts time spent suspended.
	Age time.Duration
	// Limit is the age from which no key is accepted; 0 for none.
	Limit time.Duration
	// Waited is the time since the request arrived.
	Waited time.Duration
}

const (
	// limitShare is the part of the time for revocations after which a daemon without news stops to accept keys. The rest
	// covers clocks that run at different rates.
	limitShare = 0.95
	// maxSecondLook is how long a request with an unknown key waits for a newer configuration. A change reaches a daemon in
	// some 100 ms: the lease holder reads it in a long poll, and daemons report at least every second at the target size.
	maxSecondLook = 600 * time.Millisecond
)

// LimitFor returns Knowledge.Limit if keys must be out of force within bound after they were taken away; 0 for no bound.
//
// No request is late by this limit alone: one that was sent before it arrives, and is judged by the age at its arrival.
func LimitFor(bound time.Duration) time.Duration { return time.Duration(float64(bound) * limitShare) }

// TooOld reports whether the limit has passed.
func (k Knowledge) TooOld() bool { return k.Limit > 0 && k.Age >= k.Limit }

// Decide decides about a request. held is set if a workspace holds its key, single if the request shows exactly one key.
func Decide(single, held bool, k Knowledge) Decision {
	switch {
	case k.TooOld():
		return TooOld
	case held:
		return Accept
	case !single:
		return Refuse
	case k.Age > k.Waited && k.Waited < maxSecondLook:
		// The configuration may be older than the request.
		return LookAgain
	default:
		return Refuse
	}
}

// SecondLookLeft returns how long a request that waits for a newer configuration may still do so.
func SecondLookLeft(waited time.Duration) time.Duration { return max(maxSecondLook-waited, 0) }
