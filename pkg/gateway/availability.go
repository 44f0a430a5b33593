package gateway

import (
	"math/rand/v2"
	"time"

	"trefoilferry.example/ferry/pkg/availability"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
)

// NewAvailability returns an empty table of what servers say about taking requests; changes are logged.
func NewAvailability(log *eventlog.Logger) *availability.Table {
	return availability.NewTable(rand.Float64, func(c availability.Change) { logAvailability(log, &c) })
}

func logAvailability(log *eventlog.Logger, c *availability.Change) {
	switch c.Kind {
	case availability.LeavingBegan:
		log.Log(eventlog.ServerLeaving, "server", c.Server.ID, "born", c.Server.StartMillis, "source", c.Source, "age", c.Age)
	case availability.LeavingEnded:
		log.Log(eventlog.ServerLeavingEnded, "server", c.Server.ID, "born", c.Server.StartMillis, "after", c.Age)
	case availability.PauseBegan:
		log.Log(eventlog.ServerPauseBegan, "server", c.Server.ID, "born", c.Server.StartMillis, "left", c.Left, "source", c.Source, "age", c.Age)
	case availability.PauseExtended:
		log.Log(eventlog.ServerPauseExtended, "server", c.Server.ID, "born", c.Server.StartMillis, "left", c.Left, "source", c.Source, "age", c.Age)
	case availability.PauseEnded:
		log.Log(eventlog.ServerPauseEnded, "server", c.Server.ID, "born", c.Server.StartMillis, "lasted", c.Age, "source", c.Source)
	}
}

// incarnationOf returns the incarnation of a server that the list describes.
func incarnationOf(s *fleet.Server) availability.Incarnation {
	return availability.Incarnation{ID: s.ID, StartMillis: s.StartMillis}
}

// recordAvailability records what a response says for the incarnation to which the request was sent. accepted is set if
// the server has not refused the request.
func (b *backend) recordAvailability(server *fleet.Server, j *job, meta *ResponseMeta, accepted bool, sentAt, now time.Time) {
	b.availability.Record(incarnationOf(server), availability.Answer{
		Leaving: meta.Leaving, Pause: meta.Pause, Accepted: accepted, SentAt: sentAt, At: now, Source: "response to " + j.meta.RequestID,
	})
}

// StartTimes returns the start times of the listed servers by id.
func (v *View) StartTimes() map[string]int64 {
	out := make(map[string]int64, len(v.Servers))
	for id := range v.Servers {
		out[id] = v.Servers[id].StartMillis
	}
	return out
}
