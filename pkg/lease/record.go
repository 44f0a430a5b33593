package lease

// Record is the stored state of the lease.
type Record struct {
	// Holder names the host that holds the lease; empty after a planned release.
	Holder string
	// Address is where the holder answers other daemons.
	Address string
	// Token is the fencing number of the tenure. It grows with every new holder.
	Token int64
	// Carry is state that the holder leaves to its successor.
	Carry string
}
