package lease

// Record is the stored state of the lease.
type Record struct {
	// Holder is the name of the host that holds the lease; empty after a planned release.
	Holder string
	// Address is the address at which the holder serves other daemons.
	Address string
	// Token is the fencing token of the tenure. It increases with every new holder.
	Token int64
	// HandoverState is the encoded state that the holder hands over to its successor.
	HandoverState string
	// Unsettled is set while the holder must still wait before its first order, so that its own restart does not end the
	// wait.
	Unsettled bool
	// HolderMissing is set while the lease of a holder that a restored store lacks may not have ended, so that neither a
	// restart nor a release by the writer shortens the wait for it.
	HolderMissing bool
	// Restored is set by the store if it was restored from an earlier copy after the record was written, or if there is no
	// record and it may have been lost that way: a later holder that is not recorded may still act.
	Restored bool
}
