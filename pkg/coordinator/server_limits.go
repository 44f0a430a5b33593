package coordinator

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

// milliRate converts rates of requests per second to those of messages.
const milliRate = 1000

// applyLimits adds what a daemon reports of servers that name a limit.
func (c *Coordinator) applyLimits(report *ferrypb.LoadReport, now time.Time) {
	for _, m := range report.Limits {
		c.limits.Apply(report.Daemon, &serverlimit.Report{Server: m.Server, Observation: observationFromProto(m, now), Sent: int(m.Sent), Held: int(m.Held)}, now)
	}
}

// addLimits adds the servers that name a limit to a view.
func (c *Coordinator) addLimits(out *ferrypb.FleetView, daemon string, now time.Time) {
	for _, t := range c.limits.List(daemon, now) {
		m := limitToProto(t.Server, t.Observation, t.Sent, t.Held, now)
		m.Granted = uint32(max(t.Granted, 0))
		out.Limits = append(out.Limits, m)
	}
}

func limitToProto(server string, o serverlimit.Observation, sent, held int, now time.Time) *ferrypb.ServerLimit {
	return &ferrypb.ServerLimit{Server: server, MilliRate: uint64(o.Rate * milliRate), AgeMillis: ageMillis(o.At, now), Sent: uint32(max(sent, 0)), Held: uint32(max(held, 0))}
}

func observationFromProto(m *ferrypb.ServerLimit, now time.Time) serverlimit.Observation {
	return serverlimit.Observation{Rate: float64(m.MilliRate) / milliRate, At: now.Add(-millis(m.AgeMillis))}
}

func totalsFromProto(list []*ferrypb.ServerLimit, now time.Time) []serverlimit.Total {
	out := make([]serverlimit.Total, 0, len(list))
	for _, m := range list {
		out = append(out, serverlimit.Total{Server: m.Server, Observation: observationFromProto(m, now), Sent: int(m.Sent), Held: int(m.Held), Granted: int(m.Granted)})
	}
	return out
}
