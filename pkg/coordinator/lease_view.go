package coordinator

import "time"

// LeaseView is the part of the lease that a coordinator reads.
type LeaseView interface {
	// Held reports whether this daemon holds the lease.
	Held() bool
	// Token returns the fencing token, and whether orders may be sent now.
	Token() (int64, bool)
	// Tenure returns the fencing token of the tenure, even before orders may be sent; 0 while the lease is not held.
	Tenure() int64
	// IsSoleHolder reports whether no other daemon can be sending orders.
	IsSoleHolder() bool
	// ConfirmedAge returns the time since the latest renewal that is known to have taken effect was sent, by a clock that
	// counts time spent suspended.
	ConfirmedAge() time.Duration
	// Daemons returns the number of daemons that may take the lease, as the last holder told; 0 if unknown.
	Daemons() int
	// Position returns the store position of the latest renewal.
	Position() int64
	// RecordFenced records that a runner rejected an order because it has seen a higher token.
	RecordFenced(token int64)
}
