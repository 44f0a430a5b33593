package gateway

import "net/http"

// Codec translates the headers of requests and responses.
type Codec interface {
	// Meta decodes the header of a caller's request. It fails with code BadRequest.
	Meta(h http.Header) (Meta, error)
	// Forward returns the header of one attempt at a backend server.
	Forward(h http.Header, hop Hop) http.Header
	// Answer decodes the header of a backend server's response.
	Answer(status int, h http.Header) Answer
	// Relay returns the header of the response to the caller.
	Relay(h http.Header) http.Header
}
