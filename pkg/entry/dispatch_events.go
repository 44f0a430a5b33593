package entry

import (
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/retry"
	"trefoilferry.example/ferry/pkg/routing"
	"trefoilferry.example/ferry/pkg/timeline"
)

// recordFailed records a failed attempt in metrics, timeline and log. Waiting for a runner is not a failed attempt.
func (d *Dispatcher) recordFailed(rs *requestState, f *failure.Failure, decision retry.Decision) {
	if decision.Action == retry.Wait {
		return
	}
	d.metrics.recordAttemptFailure(f)
	detail := string(f.Code) + " " + string(f.Outcome) + " " + string(decision.Action)
	d.ring.Add(timeline.Event{
		Kind:      timeline.AttemptFailed,
		RequestID: rs.request.ID,
		Object:    rs.request.objectName(),
		Detail:    detail,
	})
	d.log.Log(eventlog.AttemptFailed, "request", rs.request.ID, "code", string(f.Code), "outcome", string(f.Outcome), "then", string(decision.Action), "error", f.Error())
}

// recordStarted records the start of an attempt, which resumes the generation if there is output already.
func (d *Dispatcher) recordStarted(rs *requestState, c routing.Candidate, attempt string) {
	kind := timeline.AttemptStarted
	if rs.hasOutput() {
		kind = timeline.AttemptResumed
		d.metrics.resumes.Inc()
		d.log.Log(eventlog.AttemptResumed, "request", rs.request.ID, "runner", c.Runner, "tokens", rs.tokens)
	}
	d.ring.Add(timeline.Event{
		Kind:      kind,
		RequestID: rs.request.ID,
		AttemptID: attempt,
		Object:    rs.request.objectName(),
		Host:      c.Runner,
	})
}
