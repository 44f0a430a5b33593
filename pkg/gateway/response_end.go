package gateway

import "trefoilferry.example/ferry/pkg/exchange"

// responseEnd is what is known when a response has ended without an error. A length or a last chunk states the end. Without
// them only the connection has ended. The server closes it after the response, but the kernel closes it too if the process
// of the server ends in the middle of the response.
type responseEnd struct {
	// framed is set if the response has stated its end.
	framed bool
	// listening is whether the server was found to listen after the end.
	listening exchange.Listening
	// inService is set if the server is listed and has not said that it leaves.
	inService bool
}

// whole reports whether the response counts as whole. A server that leaves may end right after its last response.
func (e responseEnd) whole() bool {
	return e.framed || e.listening != exchange.ListensNot || !e.inService
}

// survived reports whether the server is known to have gone on after the response.
func (e responseEnd) survived() bool { return e.framed || e.listening == exchange.Listens }
