package serverlimit

// Report is what a daemon tells the lease holder of one server that names a limit.
type Report struct {
	Server string
	Observation
	// Sent is the number of requests sent since the last report, Held the number of those that could not be sent in that
	// time.
	Sent int
	Held int
}

// Total is what the lease holder tells of one server that names a limit.
type Total struct {
	Server string
	Observation
	// Sent is the number of requests of all daemons within the last Span, Held the number of requests that they hold back.
	Sent int
	Held int
	// Granted is the number of its held requests that the daemon may send until its next report.
	Granted int
}
