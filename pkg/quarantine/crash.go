package quarantine

import "time"

// Crash is the end of a runner, with the requests that may have caused it. Several daemons can report the same crash,
// each with its own requests.
type Crash struct {
	// Server and StartMillis identify the incarnation of the runner.
	Server      string
	StartMillis int64
	At          time.Time
	Requests    []Suspect
	// reportedAt is when the evidence first heard of it.
	reportedAt time.Time
}

// Suspect is a request to which a runner had not responded for long, if at all, when it crashed.
type Suspect struct {
	RequestID string
	// Parts are the ids of its shared prompt parts.
	Parts []string
	// Begun is set if the head of the response had arrived.
	Begun bool
}

// Parts returns the parts of all requests; some may repeat.
func (c *Crash) Parts() []string {
	var out []string
	for i := range c.Requests {
		out = append(out, c.Requests[i].Parts...)
	}
	return out
}
