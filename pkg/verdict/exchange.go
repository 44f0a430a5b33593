package verdict

import "trefoilferry.example/ferry/pkg/failure"

// Exchange is what is known of an exchange that ended without the head of a response.
type Exchange struct {
	// Connected is set once a connection was open.
	Connected bool
	// WriteFailed is set if the request could not be written, and Written is the number of its bytes that were handed to the
	// kernel before. Until a write has failed, all of its bytes may be on their way.
	WriteFailed bool
	Written     int
}

// Outcome returns whether the request may have been run. Bytes that the kernel has taken may reach the server whatever
// becomes of the connection, also long after: a server that is frozen reads them when it goes on.
func (e Exchange) Outcome() failure.Outcome {
	if !e.Connected || (e.WriteFailed && e.Written == 0) {
		return failure.NotRun
	}
	return failure.Unknown
}
