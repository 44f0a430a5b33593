package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/serverspeed"
)

// speedKey returns the incarnation of a server under which its speed is kept.
func speedKey(s *fleet.Server) serverspeed.Incarnation {
	return serverspeed.Incarnation{Server: s.ID, Service: s.Service, StartMillis: s.StartMillis}
}

// recordStatement records what a response states about the speed of its server. A response that another server may have
// given, because the request was misdirected, states nothing.
func (b *backend) recordStatement(s *fleet.Server, load Load, code failure.Code, now time.Time) {
	if load.Slowness == 0 || code == failure.WrongIncarnation {
		return
	}
	b.logJudgement(s, "stated", load.Slowness, func() (serverspeed.Judgement, serverspeed.Estimate) {
		return b.tracker.speeds.State(speedKey(s), load.Slowness, now)
	})
}

// recordFirstEvent records how long a server took to the first event of a request. Requests to another region are left
// out: the way there is a large part of their time.
func (b *backend) recordFirstEvent(j *job, c *choice, took time.Duration, now time.Time) {
	if !j.needsModel() || c.far || c.work.Tokens == 0 {
		return
	}
	b.logJudgement(&c.server, "first_event", took.Seconds(), func() (serverspeed.Judgement, serverspeed.Estimate) {
		return b.tracker.speeds.ShowFirstEvent(speedKey(&c.server), c.work, took, now)
	})
}

// recordPlain records how long a server of a plain service took for a request.
func (b *backend) recordPlain(j *job, c *choice, took time.Duration, now time.Time) {
	if j.service.Engine != nil || c.far {
		return
	}
	multiple := float64(took) / float64(plainTime(c.server.Slots, c.work.Running))
	b.logJudgement(&c.server, "plain", took.Seconds(), func() (serverspeed.Judgement, serverspeed.Estimate) {
		return b.tracker.speeds.ShowMultiple(speedKey(&c.server), multiple, now)
	})
}

// logJudgement records evidence of a server's speed and logs the server if it is judged slow or fit again.
func (b *backend) logJudgement(s *fleet.Server, by string, value float64, record func() (serverspeed.Judgement, serverspeed.Estimate)) {
	judgement, e := record()
	logJudgement(b.log, s, judgement, e, by, value)
}

func logJudgement(log *eventlog.Logger, s *fleet.Server, judgement serverspeed.Judgement, e serverspeed.Estimate, by string, value float64) {
	switch judgement {
	case serverspeed.TurnedSlow:
		log.Log(eventlog.ServerSlow, "server", s.ID, "service", s.Service, "mean", e.Mean, "slowness", e.Slowness, "by", by, "value", value)
	case serverspeed.TurnedFit:
		log.Log(eventlog.ServerFit, "server", s.ID, "service", s.Service, "mean", e.Mean, "slowness", e.Slowness, "by", by, "value", value)
	case serverspeed.Unchanged:
	}
}

// TakeSpeedNews returns what servers stated to this daemon about their speed since the last call.
func (t *Tracker) TakeSpeedNews() []serverspeed.Statement { return t.speeds.TakeNews() }

// HearSpeed records what a server stated to another daemon about its speed.
func (t *Tracker) HearSpeed(s *fleet.Server, slowness float64, at, now time.Time, log *eventlog.Logger) {
	judgement, e := t.speeds.Hear(speedKey(s), slowness, at, now)
	logJudgement(log, s, judgement, e, "stated to another daemon", slowness)
}
