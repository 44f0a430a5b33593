package coordinator

// OrderResult is a runner's response to an order.
type OrderResult string

const (
	// Accepted means that the runner carries out the order.
	Accepted OrderResult = "accepted"
	// AlreadyDone means that the order's effect already holds.
	AlreadyDone OrderResult = "already_done"
	// Busy means that the runner carries out another order, or has accepted a different number of orders than
	// expected.
	Busy OrderResult = "busy"
	// Fenced means that the order comes from a holder that has been replaced.
	Fenced OrderResult = "fenced"
	// Rejected means that the runner cannot carry out the order.
	Rejected OrderResult = "rejected"
	// WrongServer means that another incarnation responds at the address.
	WrongServer OrderResult = "wrong_server"
)
