package quarantine

// Suspect is a request to which a runner had not responded for long, if at all, when it crashed.
type Suspect struct {
	RequestID string
	// Parts are the ids of its shared prompt parts.
	Parts []string
	// Begun is set if the head of the response had arrived.
	Begun bool
}

// MaxRequests bounds the requests of one crash; runners run fewer at once.
const MaxRequests = 128
