package coordinator

import (
	"slices"
	"strings"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/quarantine"
)

// minJudgeInterval is the shortest time between two decisions about crashes: reports of a large fleet come every few
// milliseconds.
const minJudgeInterval = 20 * time.Millisecond

// maxSuspectParts bounds the prompt parts about which the holder asks the daemons.
const maxSuspectParts = 512

// applyEvidence adds the crashes of a report and the prompt parts that runners have survived.
func (c *Coordinator) applyEvidence(report *ferrypb.LoadReport, now time.Time) {
	for _, m := range report.Crashes {
		crash := crashFromProto(m, now)
		c.judge.Evidence.AddCrash(&crash, now)
	}
	for _, s := range report.SoundParts {
		c.judge.Evidence.AddSound(s.Part, now.Add(-millis(s.AgeMillis)))
	}
}

// judgeCrashes updates the quarantine and puts it in force at this daemon.
func (c *Coordinator) judgeCrashes(now time.Time) {
	c.judgedAt = now
	added, lifted := c.judge.Step(now)
	for i := range added {
		c.log.Log(eventlog.PromptBarred, "parts", strings.Join(added[i].Parts, "+"), "source", c.config.Holder, "until", added[i].Until.Sub(now))
	}
	for i := range lifted {
		c.log.Log(eventlog.PromptAllowed, "parts", strings.Join(lifted[i].Parts, "+"))
	}
	c.config.Board.Replace(c.judge.Entries(now), now)
}

// addQuarantine adds the quarantine to a view.
func (c *Coordinator) addQuarantine(out *ferrypb.FleetView, now time.Time) {
	out.ReportsTaken = true
	for _, e := range c.judge.Entries(now) {
		out.Quarantine = append(out.Quarantine, &ferrypb.QuarantineEntry{Parts: e.Parts, AgeMillis: ageMillis(e.LastCrash, now), RemainingMillis: ageMillis(now, e.Until), Provisional: e.Provisional})
	}
	parts := c.judge.Evidence.Suspects()
	out.SuspectParts = parts[:min(len(parts), maxSuspectParts)]
}

func quarantineFromProto(list []*ferrypb.QuarantineEntry, now time.Time) []quarantine.Entry {
	out := make([]quarantine.Entry, 0, len(list))
	for _, m := range list {
		out = append(out, quarantine.Entry{Parts: slices.Clone(m.Parts), LastCrash: now.Add(-millis(m.AgeMillis)), Until: now.Add(millis(m.RemainingMillis)), Provisional: m.Provisional})
	}
	return out
}

func crashToProto(c *quarantine.Crash, now time.Time) *ferrypb.Crash {
	m := &ferrypb.Crash{Runner: c.Server, BornMillis: c.StartMillis, AgeMillis: ageMillis(c.At, now)}
	for i := range c.Requests {
		s := &c.Requests[i]
		m.Suspects = append(m.Suspects, &ferrypb.CrashSuspect{RequestId: s.RequestID, Parts: s.Parts, Begun: s.Begun})
	}
	return m
}

func crashFromProto(m *ferrypb.Crash, now time.Time) quarantine.Crash {
	c := quarantine.Crash{Server: m.Runner, StartMillis: m.BornMillis, At: now.Add(-millis(m.AgeMillis))}
	for _, s := range m.Suspects {
		c.Requests = append(c.Requests, quarantine.Suspect{RequestID: s.RequestId, Parts: s.Parts, Begun: s.Begun})
	}
	return c
}
