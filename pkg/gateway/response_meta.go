package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/verdict"
)

// ResponseMeta is the metadata that a backend server sends in the header of its response.
type ResponseMeta struct {
	// RequestID is the id of the request that the response belongs to; empty if the header does not name one.
	RequestID string
	// Head is what the response tells about the run of the request.
	Head verdict.Response
	Load Load
	// Limit is the number of requests per second that the server takes from all daemons together; 0 for no limit.
	Limit float64
	// Leaving is set if the server takes no new requests any more.
	Leaving bool
	// Pause is how long the server, which refused the request, wants no further ones; 0 for no pause.
	Pause time.Duration
}
