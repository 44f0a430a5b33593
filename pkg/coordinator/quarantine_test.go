package coordinator

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/quarantine"
)

// crashedOn returns a crash of a runner on a request with the given part, some time ago.
func crashedOn(runner, part string, ago time.Duration) *quarantine.Crash {
	return &quarantine.Crash{Server: runner, StartMillis: 1, At: time.Now().Add(-ago),
		Requests: []quarantine.Suspect{{RequestID: runner + part, Parts: []string{part}, Begun: true}}}
}

// reportTo sends one report of a daemon's evidence to a holder and applies the response.
func reportTo(t *testing.T, c *Coordinator, r *evidenceReporter, daemon string) {
	t.Helper()
	report := &ferrypb.LoadReport{Daemon: daemon}
	now := time.Now()
	r.addTo(report, now)
	view, err := c.Report(t.Context(), report)
	if err != nil {
		t.Fatal(err)
	}
	r.apply(view, report, now)
}

func newEvidenceDaemon() (*quarantine.Board, *evidenceReporter) {
	board := quarantine.NewBoard()
	return board, newEvidenceReporter(board, eventlog.Discard())
}

func newJudgingHolder(token int64) *Coordinator {
	c := New(Config{Holder: "h"}, versionedFleet{}, tenureLease{token: token}, nil, eventlog.Discard())
	c.ImportState("")
	return c
}

// judge lets a holder decide a second from now, when all evidence counts.
func judge(c *Coordinator) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.judgeCrashes(time.Now().Add(time.Second))
}

// Load pattern: each of two daemons sees one of the crashes, and the lease changes hands around them. Guards against
// evidence that is lost with a holder, and against a quarantine that a new holder, a daemon that follows or one that
// starts again does not know.
func TestQuarantineOutlivesHoldersAndDaemons(t *testing.T) {
	boardA, reporterA := newEvidenceDaemon()
	boardB, reporterB := newEvidenceDaemon()
	first := newJudgingHolder(1)
	boardA.AddCrash(crashedOn("r1", "deadly", 2*time.Second))
	reportTo(t, first, reporterA, "a")

	second := newJudgingHolder(2)
	boardB.AddCrash(crashedOn("r2", "deadly", time.Second))
	reportTo(t, second, reporterB, "b")
	for range 2 {
		reportTo(t, second, reporterA, "a")
	}
	judge(second)
	reportTo(t, second, reporterA, "a")
	if boardA.Match([]string{"x", "deadly"}, time.Now()) == nil {
		t.Fatal("the daemon that follows does not bar the part after two crashes under two holders")
	}

	third := newJudgingHolder(3)
	third.ImportState(second.ExportState())
	reportTo(t, third, reporterB, "b")
	if boardB.Match([]string{"deadly"}, time.Now()) == nil {
		t.Error("the third holder does not bar the part")
	}
	started := New(Config{Holder: "s"}, versionedFleet{}, tenureLease{}, nil, eventlog.Discard())
	started.ObserveState(second.ExportState())
	if started.config.Board.Match([]string{"deadly"}, time.Now()) == nil {
		t.Error("a daemon that has only read the lease does not bar the part")
	}
}

// Guards against a part that is barred because the daemon that saw the crashes does not know that runners survive it at
// other daemons.
func TestPartsThatSurviveAtOtherDaemonsAreNotBarred(t *testing.T) {
	boardA, reporterA := newEvidenceDaemon()
	boardB, reporterB := newEvidenceDaemon()
	holder := newJudgingHolder(1)
	for _, runner := range []string{"r1", "r2", "r3", "r4"} {
		boardA.AddCrash(crashedOn(runner, "shared", 2*time.Second))
	}
	boardB.AddSound([]string{"shared"}, time.Now())
	reportTo(t, holder, reporterA, "a")
	for range 2 {
		reportTo(t, holder, reporterB, "b")
	}
	judge(holder)
	reportTo(t, holder, reporterA, "a")
	if boardA.Match([]string{"shared"}, time.Now()) != nil {
		t.Error("a part is barred that a runner has survived at another daemon since the crashes")
	}
}
