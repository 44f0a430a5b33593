package gateway

// ResponseMeta is the metadata that a backend server sends in the header of its response.
type ResponseMeta struct {
	// RequestID is the id of the request that the response belongs to; empty if the header does not name one.
	RequestID string
	// Signed is set when the response carries the signature header of a backend server, so that it does not come from
	// something else at the address.
	Signed bool
	// NotRun is set when the server declares that it did not execute the request.
	NotRun bool
	Load   Load
	// Limit is the number of requests per second that the server takes from all daemons together; 0 for no limit.
	Limit float64
	// Leaving is set if the server takes no new requests any more.
	Leaving bool
}
