package gateway

import "time"

// StopPlan says up to when a stopping daemon takes requests. The zero value is that of a daemon that is not stopping.
type StopPlan struct {
	// LastArrival is the time up to which a request that was read is taken. New connections come up to then.
	LastArrival time.Time
	// LastStart is the time up to which a request that was taken is sent to its first server.
	LastStart time.Time
	// End is when the requests still in progress are cut off.
	End time.Time
}

// takes reports whether a request is taken that was read completely at the given time. A later one could be cut off at
// the end although it may have run.
func (p *StopPlan) takes(read time.Time) bool {
	return p.LastArrival.IsZero() || read.Before(p.LastArrival)
}

// starts reports whether a request that was taken, and that no server has run yet, is sent to a server that is expected
// to need so long for it. Requests in progress go on in any case.
func (p *StopPlan) starts(now time.Time, expected time.Duration) bool {
	return p.End.IsZero() || (now.Before(p.LastStart) && !now.Add(expected).After(p.End))
}
