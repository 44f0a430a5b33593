package coordinator

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/availability"
	"trefoilferry.example/ferry/pkg/fleet"
)

func newMarks() *availability.Table {
	return availability.NewTable(func() float64 { return 0 }, func(availability.Change) {})
}

// tellLeaving sends a report of what a daemon knows of leaving servers to a holder, applies the response and returns the
// number of servers in the report.
func tellLeaving(t *testing.T, c *Coordinator, r *leavingReporter, daemon string) int {
	t.Helper()
	report := &ferrypb.LoadReport{Daemon: daemon}
	r.addTo(report, time.Now())
	told := len(report.Leaving)
	view, err := c.Report(t.Context(), report)
	if err != nil {
		t.Fatal(err)
	}
	r.apply(view, time.Now())
	return told
}

// Load pattern: a runner leaves, says so in responses to one of many daemons only, and its entry goes on to call it ready.
// Guards against a holder that goes on to place models there, against requests of other daemons at it, and against a mark
// that outlives its incarnation or is told again and again.
func TestServerThatLeavesByResponseIsKnownToAllDaemons(t *testing.T) {
	servers := map[string]fleet.Server{"one": {ID: "one", Service: "s", Address: "127.0.0.1:1", StartMillis: 1, Sequence: 1}}
	holder := newHolder(7, 5, servers)
	holder.config.Availability = newMarks()
	first, second := &leavingReporter{table: newMarks()}, &leavingReporter{table: newMarks()}
	leaving := availability.Incarnation{ID: "one", StartMillis: 1}
	first.table.Record(leaving, availability.Answer{Leaving: true, SentAt: time.Now(), At: time.Now(), Source: "response"})

	if n := tellLeaving(t, holder, first, "a"); n != 1 {
		t.Fatalf("%d servers in the report of the daemon that was told, want 1", n)
	}
	holder.mu.Lock()
	holder.applyAvailability(time.Now())
	draining := holder.runners["one"].Server.Draining
	holder.mu.Unlock()
	if !draining {
		t.Error("the holder goes on to place models at a runner that leaves")
	}
	tellLeaving(t, holder, second, "b")
	if !second.table.Leaving(leaving) {
		t.Error("the other daemon does not know of it")
	}
	if second.table.Leaving(availability.Incarnation{ID: "one", StartMillis: time.Now().Add(time.Minute).UnixMilli()}) {
		t.Error("the next incarnation counts as leaving")
	}
	for name, r := range map[string]*leavingReporter{"a": first, "b": second} {
		if n := tellLeaving(t, holder, r, name); n != 0 {
			t.Errorf("%d servers in the next report of daemon %s, want none", n, name)
		}
	}
	next := newHolder(9, 6, servers)
	next.config.Availability = newMarks()
	if n := tellLeaving(t, next, first, "a"); n != 0 {
		t.Errorf("%d servers in the first report to the next holder, want none before its tenure is known", n)
	}
	if n := tellLeaving(t, next, first, "a"); n != 1 || !next.config.Availability.Leaving(leaving) {
		t.Errorf("%d servers in the second report to the next holder, known to it: %v, want 1 and known", n, next.config.Availability.Leaving(leaving))
	}
}

// Guards against a mark that never ends, because daemons and holders tell each other of it as if it were new.
func TestMarkIsNotSharedForLong(t *testing.T) {
	holder := newHolder(7, 5, nil)
	holder.config.Availability = newMarks()
	r := &leavingReporter{table: newMarks()}
	since := time.Now().Add(-markSharedTime)
	r.table.Record(availability.Incarnation{ID: "one", StartMillis: 1}, availability.Answer{Leaving: true, SentAt: since, At: since})
	tellLeaving(t, holder, r, "a")
	other := &leavingReporter{table: newMarks()}
	tellLeaving(t, holder, other, "b")
	if n := len(other.table.Marks(func(availability.Mark) bool { return true })); n != 0 {
		t.Errorf("%d marks of before %v told to another daemon, want none", n, markSharedTime)
	}
	holder.config.Availability.Retain(nil, since.Add(11*time.Minute))
	if n := len(holder.config.Availability.Marks(func(availability.Mark) bool { return true })); n != 0 {
		t.Errorf("%d marks at the holder 11 minutes after the server said so, want none", n)
	}
}

// Guards against a report without bound after many servers have left at once.
func TestReportedMarksAreBounded(t *testing.T) {
	r := &leavingReporter{table: newMarks()}
	const servers = 3 * maxReportedMarks
	for n := range servers {
		r.table.Record(availability.Incarnation{ID: "s", StartMillis: int64(n)}, availability.Answer{Leaving: true, SentAt: time.Now(), At: time.Now()})
	}
	holder := newHolder(7, 5, nil)
	holder.config.Availability = newMarks()
	total := 0
	for range 3 {
		n := tellLeaving(t, holder, r, "a")
		if n > maxReportedMarks {
			t.Errorf("%d servers in a report, want at most %d", n, maxReportedMarks)
		}
		total += n
	}
	if total != servers {
		t.Errorf("%d servers told in three reports, want %d", total, servers)
	}
}
