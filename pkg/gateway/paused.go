package gateway

import (
	"math/rand/v2"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/routing"
)

// pausedServers sums up the servers that could run a request if they did not pause.
type pausedServers struct {
	// soonest is the server that takes requests again first, in left.
	soonest string
	left    time.Duration
	// usable is set if a server among them has not been tried for the request; wait is the time left for the first of those.
	usable bool
	wait   time.Duration
}

// soonestReturn returns the servers that pause if these are all that can run the request, apart from those that leave;
// nil otherwise.
func soonestReturn(candidates []routing.Candidate, tried map[string]bool) *pausedServers {
	var out *pausedServers
	for i := range candidates {
		cand := &candidates[i]
		switch {
		case cand.Draining:
			continue
		case cand.PauseLeft <= 0:
			return nil
		case out == nil:
			out = &pausedServers{soonest: cand.Runner, left: cand.PauseLeft}
		case cand.PauseLeft < out.left:
			out.soonest, out.left = cand.Runner, cand.PauseLeft
		}
		if !tried[cand.Runner] && (!out.usable || cand.PauseLeft < out.wait) {
			out.usable, out.wait = true, cand.PauseLeft
		}
	}
	return out
}

// pauseWaitShare is the share of the target latency that a request without a model may wait for the end of a pause. One
// that waited longer would earn little, and a retry costs it less than being held.
const pauseWaitShare = 0.5

// serverWaitLimit returns how long the request may wait for a server.
func serverWaitLimit(j *job, now time.Time) time.Duration {
	limit := modelWaitLimit(j, now)
	if j.needsModel() {
		return limit
	}
	return min(limit, time.Duration(pauseWaitShare*float64(j.route.TargetLatency)))
}

// mayAwaitServer reports whether a request without a server may wait for one: for its model, for a place within a limit, or
// for the end of a pause, but not for one that ends too late.
func mayAwaitServer(j *job, c *choice, now time.Time) bool {
	if c.pause != nil {
		return c.pause.usable && c.pause.wait < serverWaitLimit(j, now)
	}
	return (j.needsModel() || c.limited) && c.limitWait < modelWaitLimit(j, now)
}

// pauseEnd returns a channel that receives when the pause ends for which the request waits; nil for none.
func (c *choice) pauseEnd() <-chan time.Time {
	if c.pause == nil || !c.pause.usable {
		return nil
	}
	return time.After(c.pause.wait)
}

// pauseRetrySpread is the share of the time left by which callers' retries are spread beyond it.
const pauseRetrySpread = 0.2

// minPauseRetryAfter is the least Retry-After of a request that was refused because of a pause, so that requests that come
// in the return after it are spread, too.
const minPauseRetryAfter = 100 * time.Millisecond

// pausedFailure refuses a request because all servers that can run it pause or leave.
func (f *Forwarder) pausedFailure(j *job, p *pausedServers) *failure.Failure {
	f.metrics.recordPauseRefusal()
	left := max(p.left, minPauseRetryAfter)
	return failure.New(failure.Overloaded, failure.NotRun, "the servers of service "+j.service.Name+" that can run the request pause or leave; "+
		p.soonest+" takes requests again in "+p.left.Round(time.Millisecond).String()).
		WithRetryAfter(left + time.Duration(rand.Float64()*pauseRetrySpread*float64(left)))
}
