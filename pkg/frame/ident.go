package frame

// Ident names the answer that a frame belongs to.
type Ident struct {
	RequestID string
	AttemptID string
	// Incarnation of the answering agent; empty in a reader accepts the incarnation of the first frame.
	Incarnation string
}
