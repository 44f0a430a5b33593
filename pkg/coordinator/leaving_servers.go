package coordinator

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/availability"
)

// markSharedTime is how long after a server has said that it leaves the holder tells other daemons. At the target size all
// of them report within 1.1 s.
const markSharedTime = 3 * time.Second

// applyLeaving records the servers of which a daemon tells that they leave. A plan is requested at once, so that their
// models are loaded elsewhere before they are gone.
func (c *Coordinator) applyLeaving(report *ferrypb.LoadReport, now time.Time) {
	for _, m := range report.Leaving[:min(len(report.Leaving), maxReportedMarks)] {
		mark := markFromProto(m, now)
		if c.config.Availability.Leaving(mark.Server) {
			continue
		}
		recordMark(c.config.Availability, &mark, "report of "+report.Daemon)
		c.requestPlan()
	}
}

// addLeaving adds the servers that have lately said to some daemon that they leave to a view.
func (c *Coordinator) addLeaving(out *ferrypb.FleetView, now time.Time) {
	recent := func(mark availability.Mark) bool { return now.Sub(mark.Since) < markSharedTime }
	for _, mark := range c.config.Availability.Marks(recent) {
		out.Leaving = append(out.Leaving, markToProto(&mark, now))
	}
}

// recordMark records that a server leaves, as another daemon knows.
func recordMark(table *availability.Table, mark *availability.Mark, source string) {
	table.Record(mark.Server, availability.Answer{Leaving: true, SentAt: mark.Since, At: mark.Since, Source: source})
}

func markToProto(mark *availability.Mark, now time.Time) *ferrypb.LeavingServer {
	return &ferrypb.LeavingServer{Server: mark.Server.ID, BornMillis: mark.Server.StartMillis, AgeMillis: ageMillis(mark.Since, now)}
}

func markFromProto(m *ferrypb.LeavingServer, now time.Time) availability.Mark {
	return availability.Mark{Server: availability.Incarnation{ID: m.Server, StartMillis: m.BornMillis}, Since: now.Add(-millis(m.AgeMillis))}
}
