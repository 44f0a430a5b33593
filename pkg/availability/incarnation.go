package availability

// Incarnation identifies one start of a server.
type Incarnation struct {
	ID string
	// StartMillis is when the incarnation started, as a Unix time in milliseconds.
	StartMillis int64
}
