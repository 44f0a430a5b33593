package coordinator

// Verdict is a runner's answer to an order.
type Verdict string

const (
	// Accepted means that the runner carries out the order.
	Accepted Verdict = "accepted"
	// AlreadyDone means that the order's effect already holds.
	AlreadyDone Verdict = "already_done"
	// Busy means that the runner carries out another order, or has accepted a different number of orders than
	// expected.
	Busy Verdict = "busy"
	// Fenced means that the order comes from a holder that has been replaced.
	Fenced Verdict = "fenced"
	// Rejected means that the runner cannot carry out the order.
	Rejected Verdict = "rejected"
	// WrongServer means that another incarnation answers at the address.
	WrongServer Verdict = "wrong_server"
)
