package entry

import (
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/retry"
	"trefoilferry.example/ferry/pkg/routing"
	"trefoilferry.example/ferry/pkg/timeline"
)

func (d *Dispatcher) noteFailed(j *job, f *failure.Failure, decision retry.Decision) {
	if decision.Action == retry.Wait {
		return
	}
	d.metrics.attemptFailed(f)
	detail := string(f.Code) + " " + string(f.Outcome) + " " + string(decision.Action)
	d.ring.Add(timeline.Event{
		Kind:      timeline.AttemptFailed,
		RequestID: j.request.ID,
		Object:    j.request.object(),
		Detail:    detail,
	})
	d.log.Log(eventlog.AttemptFailed, "request", j.request.ID, "code", string(f.Code), "outcome", string(f.Outcome), "then", string(decision.Action), "error", f.Error())
}

func (d *Dispatcher) noteStarted(j *job, c routing.Candidate, attempt string) {
	kind := timeline.AttemptStarted
	if j.started() {
		kind = timeline.AttemptResumed
		d.metrics.resumes.Inc()
		d.log.Log(eventlog.AttemptResumed, "request", j.request.ID, "runner", c.Runner, "tokens", j.tokens)
	}
	d.ring.Add(timeline.Event{
		Kind:      kind,
		RequestID: j.request.ID,
		AttemptID: attempt,
		Object:    j.request.object(),
		Host:      c.Runner,
	})
}
