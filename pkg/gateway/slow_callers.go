package gateway

import (
	"errors"
	"net/http"
	"os"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
)

// bodyPieceBytes is the size of the writes of a buffered response, each of which has a deadline of its own: a caller that
// takes this much within its patience is not cut off.
const bodyPieceBytes = 32 << 10

// writeBody writes a buffered response. The memory of a body that the caller does not take is released after its patience;
// its connection then ends before the length that the header states.
func (f *Forwarder) writeBody(w http.ResponseWriter, j *job, body []byte) {
	control, budget := http.NewResponseController(w), f.backend.pool.Budget()
	for rest := body; ; {
		piece := rest[:min(len(rest), bodyPieceBytes)]
		// Only writers of tests have no deadlines.
		_ = control.SetWriteDeadline(time.Now().Add(callerPatience(budget.Used(), budget.Limit())))
		if _, err := w.Write(piece); err != nil {
			// Any other failed write means that the caller disconnected; its request has already been counted.
			if errors.Is(err, os.ErrDeadlineExceeded) {
				f.recordSlow(j, slowStalled, len(rest), len(body))
			}
			return
		}
		if rest = rest[len(piece):]; len(rest) == 0 {
			return
		}
	}
}

// recordBacklog counts a stream whose caller did not keep up; s is nil for a request without one.
func (f *Forwarder) recordBacklog(j *job, s *callerStream) {
	if s == nil {
		return
	}
	if s.peak > 0 {
		f.metrics.recordBacklog(s.peak)
	}
	if s.slow != "" {
		f.recordSlow(j, s.slow, s.left, s.peak)
	}
}

// recordSlow logs and counts a response that was ended because its caller reads too slowly.
func (f *Forwarder) recordSlow(j *job, reason slowReason, left, peak int) {
	budget := f.backend.pool.Budget()
	f.log.Log(eventlog.SlowCallerEnded, "request", j.meta.RequestID, "route", j.route.Name, "why", reason, "left", left, "held", peak,
		"budget_used", budget.Used(), "budget", budget.Limit(), "took", time.Since(j.arrived))
	f.metrics.recordSlowCaller(reason)
}
