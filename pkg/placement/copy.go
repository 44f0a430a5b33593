package placement

// Copy is one accepted claim of a model on a runner.
type Copy struct {
	// Claim is the offset of the claim record; it identifies the copy.
	Claim         uint64
	Model         string
	Version       string
	Runner        string
	Address       string
	Region        string
	FailureDomain string
	State         State
	// Fencing is the current fencing number of the runner.
	Fencing uint64
	// ClaimFencing is the fencing number under which the claim was made.
	ClaimFencing uint64
	// Bytes is the accelerator memory of the copy.
	Bytes uint64
	// Floor is true for a floor copy and false for a surplus copy.
	Floor bool
	// Unsettled is true when a load order of the copy was never answered.
	Unsettled bool
}

// Live reports whether the copy counts towards the floor.
func (c Copy) Live() bool { return c.State == Claimed || c.State == Ready }
