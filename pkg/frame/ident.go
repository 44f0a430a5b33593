package frame

// Ident identifies the response that a frame belongs to.
type Ident struct {
	RequestID string
	AttemptID string
	// Incarnation identifies the process of the responding agent. A Reader with an empty Incarnation adopts that of the
	// first frame.
	Incarnation string
}
