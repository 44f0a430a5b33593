package exchange

// Listening is what a check finds out about the process at an address.
type Listening string

const (
	// Listens means that a process accepts connections.
	Listens Listening = "listens"
	// ListensNot means that the host refuses connections, because no process listens.
	ListensNot Listening = "refuses"
	// ListensUnknown means that there was no answer.
	ListensUnknown Listening = "unknown"
)
