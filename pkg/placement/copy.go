package placement

// Copy is one accepted claim of a model version by a runner.
type Copy struct {
	// ClaimOffset is the log offset of the claim record, which identifies the copy.
	ClaimOffset   uint64
	Model         string
	Version       string
	Runner        string
	Address       string
	Region        string
	FailureDomain string
	State         State
	// Fencing is the current fencing token of the runner.
	Fencing uint64
	// ClaimFencing is the fencing token of the incarnation that made the claim.
	ClaimFencing uint64
	// Bytes is the accelerator memory that the copy takes.
	Bytes uint64
	// Floor is true if the copy counts towards the model's minimum number of copies, and false for a surplus copy.
	Floor bool
	// Unsettled is true if a load order of the copy was never answered, so that it may still take effect.
	Unsettled bool
}

// Live reports whether the copy is claimed or ready, that is, not released.
func (c Copy) Live() bool { return c.State == Claimed || c.State == Ready }
