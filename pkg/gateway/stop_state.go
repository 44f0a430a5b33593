package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// stopRetryAfter is the Retry-After of requests that a stopping daemon does not take. The balancer sends new connections
// to other daemons by then, so callers need not wait.
const stopRetryAfter = 10 * time.Millisecond

// stopState applies the stop plan of a daemon. It is safe for concurrent use; nil stands for a daemon that never stops.
type stopState struct {
	plan atomic.Pointer[StopPlan]
	// held ends when requests that wait for a server are refused.
	held context.Context
	end  context.CancelFunc
}

func newStopState() *stopState {
	held, end := context.WithCancel(context.Background())
	return &stopState{held: held, end: end}
}

// begin puts a plan in force.
func (s *stopState) begin(p *StopPlan) {
	s.plan.Store(p)
	time.AfterFunc(time.Until(p.LastStart), s.end)
}

// current returns the plan in force; the zero plan while the daemon is not stopping.
func (s *stopState) current() StopPlan {
	if s != nil {
		if p := s.plan.Load(); p != nil {
			return *p
		}
	}
	return StopPlan{}
}

// begun reports whether the daemon is stopping.
func (s *stopState) begun() bool { return s != nil && s.plan.Load() != nil }

// holding returns a context that ends with ctx, and when requests that wait for a server are refused.
func (s *stopState) holding(ctx context.Context) (context.Context, context.CancelFunc) {
	holding, cancel := context.WithCancel(ctx)
	if s == nil {
		return holding, cancel
	}
	stop := context.AfterFunc(s.held, cancel)
	return holding, func() { stop(); cancel() }
}

// refuseStart returns the failure of a request that no server has run and that a stopping daemon does not send to the
// chosen one any more; nil if it may be sent.
func (s *stopState) refuseStart(j *job, c *choice, now time.Time) *failure.Failure {
	plan := s.current()
	if plan.starts(now, j.expectedTime(c, now)) {
		return nil
	}
	return stopFailure("the daemon is stopping and cannot finish the request")
}

func stopFailure(message string) *failure.Failure {
	return failure.New(failure.Leaving, failure.NotRun, message).WithRetryAfter(stopRetryAfter)
}

// expectedTime returns how long the chosen server is expected to need, at most up to the deadline. The rest of a resumed
// stream and the length of a response without a hint are not known.
func (j *job) expectedTime(c *choice, now time.Time) time.Duration {
	expected := c.predicted
	if j.needsModel() && j.meta.LastEventID == "" {
		expected += time.Duration(j.meta.ExpectedOutputTokens) * decodeStepTime
	}
	if remaining := j.remaining(now); remaining > 0 {
		expected = min(expected, remaining)
	}
	return expected
}
