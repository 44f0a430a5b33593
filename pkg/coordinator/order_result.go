package coordinator

// Verdict is a runner's answer to an order.
type Verdict string

const (
	// Accepted orders are being carried out.
	Accepted Verdict = "accepted"
	// AlreadyDone orders need no work.
	AlreadyDone Verdict = "already_done"
	// Busy runners carry out another order, or have accepted another number of orders than expected.
	Busy Verdict = "busy"
	// Fenced orders come from a holder that has been replaced.
	Fenced Verdict = "fenced"
	// Rejected orders do not fit the runner.
	Rejected Verdict = "rejected"
	// WrongServer means that another incarnation answers at the address.
	WrongServer Verdict = "wrong_server"
)
