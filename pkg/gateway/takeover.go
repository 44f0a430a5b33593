package gateway

import (
	"context"
	"maps"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
)

// watchSilence watches an attempt whose request may be sent to another server while this one is silent.
func (f *Forwarder) watchSilence(j *job, c *choice, p *progress, cancel context.CancelCauseFunc) *silenceWatch {
	if !j.route.Retryable() {
		return unwatched()
	}
	return newSilenceWatch(responseLimit(j, c), cancel, func(s silence) *choice { return f.takeOver(j, c, p, s) })
}

// responseLimit returns the time after which a server that has not begun to respond counts as silent; 0 for none.
func responseLimit(j *job, c *choice) time.Duration {
	if j.bufferResponse() {
		return time.Duration(float64(j.route.TargetLatency) * bufferedTimeoutShare)
	}
	return max(streamTimeoutFactor*j.route.TargetLatency, predictionTimeoutFactor*c.predicted)
}

// takeOver returns another server for a request whose server is silent, and spends the retry budget for it; nil if the
// request has to stay where it is.
func (f *Forwarder) takeOver(j *job, c *choice, p *progress, s silence) *choice {
	now := time.Now()
	next, why := f.chooseTakeover(j, c, p, now)
	if s.repeated && next == nil {
		return nil
	}
	to := ""
	if next != nil {
		to = next.server.ID
	}
	f.logSilence(j, c, to, why, s)
	if s.begun && f.backend.tracker.RecordFailure(c.server.ID, now) {
		f.log.Log(eventlog.ServerSuspected, "server", c.server.ID, "silent", s.length, "report_age", c.reportAge)
	}
	return next
}

// logSilence logs and counts a silent server. to is the server that gets the request, why the reason if there is none.
func (f *Forwarder) logSilence(j *job, c *choice, to string, why obstacle, s silence) {
	f.metrics.recordSilence(why)
	f.log.Log(eventlog.ServerSilent, "request", j.meta.RequestID, "route", j.route.Name, "server", c.server.ID,
		"silent", s.length, "begun", s.begun, "to", to, "not_moved", why)
}

// chooseTakeover returns the server for another attempt beside one that is in progress, or why there is none. Only a
// server that is not suspected will do: the present one may still complete the response.
func (f *Forwarder) chooseTakeover(j *job, c *choice, p *progress, now time.Time) (*choice, obstacle) {
	if p.sent+1 >= j.route.MaxAttempts {
		return nil, obstacleAttempts
	}
	if f.board.Match(j.parts, now) != nil || (p.suspect && !f.board.Survived(j.parts)) {
		return nil, obstaclePrompt
	}
	other := *j
	other.tried, other.extraAttempt = maps.Clone(j.tried), true
	other.tried[c.server.ID] = true
	next, ok := f.chooser.choose(&other, f.control.View(), f.backend.tracker, now)
	if !ok || now.Before(f.backend.tracker.Suspects()[next.server.ID]) || j.tooLate(&next, now) {
		return nil, obstacleServer
	}
	if !f.backend.availability.Admit(incarnationOf(&next.server), now) {
		return nil, obstacleServer
	}
	if !f.takeRepeat(j) {
		return nil, obstacleQuota
	}
	if !f.budgets.take(j.service.Name, f.control.daemonCount(), now) {
		return nil, obstacleBudget
	}
	f.backend.limits.RecordSend(next.server.ID, now)
	return &next, ""
}

// stillTakes reports whether a server that was chosen to take a request over still takes it. The attempt before ends some
// time after the choice.
func (f *Forwarder) stillTakes(c *choice) bool {
	s, ok := f.control.View().Servers[c.server.ID]
	return ok && s.StartMillis == c.server.StartMillis && !s.Draining && f.backend.availability.Admit(incarnationOf(&s), time.Now())
}
