package coordinator

// LeaseView tells whether this daemon may give orders.
type LeaseView interface {
	// Held reports whether this daemon holds the lease.
	Held() bool
	// Token returns the fencing number if orders may be given now.
	Token() (int64, bool)
	// Tenure returns the fencing number of the tenure, also before orders may be given; 0 while the lease is not held.
	Tenure() int64
	// Settled reports whether no other daemon can be giving orders.
	Settled() bool
	// Position is the position of the newest renewal in the store.
	Position() int64
	// Refused records that a runner has seen a higher token.
	Refused(token int64)
}
