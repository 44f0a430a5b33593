package fleet

// Kind determines how many times a request of a route may run.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests get an event stream as response; they run at most once unless the route is resumable.
	Streaming Kind = "streaming"
)
