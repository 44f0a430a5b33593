package coordinator

import (
	"slices"
	"strings"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/quarantine"
)

// evidenceReporter reports a daemon's crashes, and which suspect parts runners have survived, once to each holder. It is
// not safe for concurrent use.
type evidenceReporter struct {
	board *quarantine.Board
	log   *eventlog.Logger
	// tenure is that of the holder that sent the last view.
	tenure int64
	// acknowledged is the number of the last crash that the holder has taken, sent that of the last one in a report.
	acknowledged uint64
	sent         uint64
	// suspects are the parts that the holder asks about; reported holds what it has been told of each.
	suspects []string
	reported map[string]time.Time
}

func newEvidenceReporter(board *quarantine.Board, log *eventlog.Logger) *evidenceReporter {
	return &evidenceReporter{board: board, log: log, reported: map[string]time.Time{}}
}

// restart makes the next report hold everything, for a new holder.
func (r *evidenceReporter) restart(tenure int64) {
	r.tenure, r.acknowledged, r.sent = tenure, 0, 0
	r.suspects, r.reported = nil, map[string]time.Time{}
}

// addTo adds what the holder has not been told yet.
func (r *evidenceReporter) addTo(m *ferrypb.LoadReport, now time.Time) {
	for _, e := range r.board.Step(now) {
		r.log.Log(eventlog.PromptBarred, "parts", strings.Join(e.Parts, "+"), "source", "own evidence", "until", e.Until.Sub(now))
	}
	var crashes []quarantine.Crash
	crashes, r.sent = r.board.CrashesAfter(r.acknowledged)
	for i := range crashes {
		m.Crashes = append(m.Crashes, crashToProto(&crashes[i], now))
	}
	// The holder may not ask about the parts of these crashes yet.
	parts := r.suspects
	for i := range crashes {
		parts = append(slices.Clip(parts), crashes[i].Parts()...)
	}
	for part, at := range r.board.SoundAt(parts) {
		if at.After(r.reported[part]) {
			m.SoundParts = append(m.SoundParts, &ferrypb.SoundPart{Part: part, AgeMillis: ageMillis(at, now)})
		}
	}
}

// apply applies the holder's view, which responds to the last report.
func (r *evidenceReporter) apply(view *ferrypb.FleetView, report *ferrypb.LoadReport, now time.Time) {
	if !view.ReportsTaken {
		return
	}
	if view.Tenure != r.tenure {
		r.restart(view.Tenure)
	}
	r.acknowledged = r.sent
	for _, s := range report.SoundParts {
		r.reported[s.Part] = now.Add(-millis(s.AgeMillis))
	}
	r.suspects = view.SuspectParts
	if len(r.suspects) == 0 {
		r.reported = map[string]time.Time{}
	}
	r.board.Replace(quarantineFromProto(view.Quarantine, now), now)
}
