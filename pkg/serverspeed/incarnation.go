package serverspeed

// Incarnation identifies one start of a backend server.
type Incarnation struct {
	Server  string
	Service string
	// StartMillis is the Unix time in milliseconds of the start.
	StartMillis int64
}
