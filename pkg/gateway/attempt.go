package gateway

import (
	"net/http"

	"trefoilferry.example/ferry/pkg/failure"
)

// attempt is the result of sending a request to one server.
type attempt struct {
	// fail is nil when the caller has its complete answer, or when whole holds it.
	fail *failure.Failure
	// whole is a complete answer that is not delivered yet; also set for signed failures of the server.
	whole *wholeAnswer
	// delivered is set once a part of a stream has reached the caller.
	delivered bool
}

// wholeAnswer is a complete answer of a server.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}
