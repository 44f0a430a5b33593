package coordinator

import (
	"time"

	"trefoilferry.example/ferry/pkg/availability"
	"trefoilferry.example/ferry/pkg/failure"
)

// incarnation returns the incarnation of the runner.
func (r *Runner) incarnation() availability.Incarnation {
	return availability.Incarnation{ID: r.id, StartMillis: r.Server.StartMillis}
}

// applyAvailability applies what runners have told this daemon: models are loaded elsewhere before a runner that leaves is
// gone, and one that pauses is called when its pause ends.
func (c *Coordinator) applyAvailability(now time.Time) {
	for _, r := range c.runners {
		if c.config.Availability.Leaving(r.incarnation()) {
			r.Server.Draining = true
		}
		if until := now.Add(c.pauseLeft(r, now)); until.After(now) && until.After(r.NotBefore) {
			r.NotBefore = until
		}
	}
}

// pauseLeft returns how long the runner wants no calls from this daemon.
func (c *Coordinator) pauseLeft(r *Runner, now time.Time) time.Duration {
	return c.config.Availability.PauseLeft(r.incarnation(), now)
}

// recordRefusal records the pause in a refused call, if it names one.
func (c *Coordinator) recordRefusal(r *Runner, call string, err error, sentAt time.Time) {
	if err == nil {
		return
	}
	if fail := failure.From(err); fail.Code == failure.Overloaded && fail.Outcome == failure.NotRun && fail.RetryAfter > 0 {
		c.config.Availability.Record(r.incarnation(), availability.Answer{Pause: fail.RetryAfter, SentAt: sentAt, At: time.Now(), Source: call})
	}
}
