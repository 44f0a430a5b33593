package allowance

import (
	"strconv"
	"sync"
	"testing"
	"time"
)

const testName = "workspace/a"

// lent returns a table that was lent so many units at the time 0.
func lent(units float64) *Table {
	t := NewTable()
	t.SetLimits(map[string]Limit{testName: {Rate: 100, Burst: 100}})
	grant(t, Grant{Units: units, Hold: units}, 0)
	return t
}

// grant applies an answer of the present holder.
func grant(t *Table, g Grant, sent time.Duration) {
	g.ID, g.Valid = ID(testName), lendTime
	t.Apply([]Use{{ID: g.ID}}, []Grant{g}, false, true, sent)
}

// Load pattern: 200 requests that wait wake together when 20 are covered. Guards against a check and a deduction in separate
// steps, with which 20 grants sent 21 to 22 requests (1946e4a).
func TestRequestsThatWakeTogether(t *testing.T) {
	table := lent(0)
	var running sync.WaitGroup
	var mu sync.Mutex
	taken := 0
	start := table.Changed()
	for range 200 {
		done := table.Await(testName, 5)
		running.Go(func() {
			defer done()
			<-start
			if table.Take(testName, 5, time.Second).Taken {
				mu.Lock()
				defer mu.Unlock()
				taken++
			}
		})
	}
	grant(table, Grant{Units: 100}, time.Second)
	running.Wait()
	if taken != 20 {
		t.Errorf("%d of 20 covered requests were allowed", taken)
	}
}

// Load pattern: a large request waits, then small ones come that what is there would cover. Guards against large requests
// that are never served, and against a new request that is refused for good behind them.
func TestWaitingRequestsAreServedInOrder(t *testing.T) {
	table := lent(30)
	done := table.Await(testName, 50)
	if table.Take(testName, 10, 0).Taken {
		t.Error("a request was served before the one that waited")
	}
	grant(table, Grant{Units: 20}, time.Second)
	if !table.Take(testName, 50, time.Second).Taken {
		t.Error("the request that waited was not served")
	}
	done()
	grant(table, Grant{Units: 10}, time.Second)
	if !table.Take(testName, 10, time.Second).Taken {
		t.Error("a request was refused although no one waits")
	}
}

// Guards against a request that waits although the holder has told that it will not be covered in time, and one that is
// refused although the wait is over; against units that outlive their time, and units of requests that were not run.
func TestTakeTellsWhenToRetry(t *testing.T) {
	table := lent(10)
	grant(table, Grant{Wait: 400 * time.Millisecond}, time.Second)
	if r := table.Take(testName, 20, 1100*time.Millisecond); r.Taken || r.RetryAfter != 300*time.Millisecond {
		t.Errorf("%+v, want a wait of 300 ms", r)
	}
	table.Apply(nil, nil, false, true, 1500*time.Millisecond)
	if r := table.Take(testName, 20, 1500*time.Millisecond); r.Taken || r.RetryAfter != 0 {
		t.Errorf("%+v after the wait, want 0", r)
	}
	table.Take(testName, 10, 1500*time.Millisecond)
	table.GiveBack(testName, 10, 1600*time.Millisecond)
	if !table.Take(testName, 10, 1600*time.Millisecond).Taken {
		t.Error("units that were given back were not used again")
	}
	table.GiveBack(testName, 10, time.Second+lendTime)
	if table.Take(testName, 10, 1600*time.Millisecond).Taken {
		t.Error("units were used after they had run out")
	}
	want := Stats{Asked: 70, Refused: 20, Lapsed: 10, Lent: 10}
	if got := table.Stats()[testName]; got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Load pattern: the answer to a report is lost, and an old report reaches the holder late. Guards against units that are lost
// with an answer, and units that are returned twice.
func TestLedgerSurvivesLostAnswers(t *testing.T) {
	l := NewLedger(0)
	l.SetLimits(map[string]Limit{testName: {Rate: 100, Burst: 100}}, 0)
	now := 2 * lendTime
	report := func(first bool, u Use) float64 {
		u.ID = ID(testName)
		if grants := l.Report("d", first, []Use{u}, true, now); len(grants) > 0 {
			return grants[0].Units
		}
		return 0
	}
	if units := report(true, Use{Wanted: 60, First: 60}); units != 60 {
		t.Fatalf("%v units lent, want 60", units)
	}
	report(false, Use{Received: 60, Available: 0, Wanted: 50, First: 50})
	if units := report(false, Use{Received: 60, Wanted: 50, First: 50}); units != 50 {
		t.Errorf("%v units lent after 50 were lost, want 50 again", units)
	}
	report(false, Use{Received: 110, Returned: 40})
	if units := report(false, Use{Received: 60, Available: 0, Wanted: 90, First: 90}); units != 0 {
		t.Errorf("%v units lent for a late report, want 0", units)
	}
	if units := report(false, Use{Received: 110, Returned: 40, Wanted: 90, First: 90}); units != 0 {
		t.Errorf("%v units lent, want 0: 70 of 125 are used and 55 left", units)
	}
}

// Guards against units that stay with a daemon whose requests gave up, and against a daemon that calls a lost holder as often
// as it may because of units that it gained.
func TestNextReport(t *testing.T) {
	table := lent(0)
	table.SetInterval(60 * time.Millisecond)
	grant(table, Grant{Units: 50, Pace: 100}, time.Second)
	if wait, ok := table.NextReport(1100 * time.Millisecond); !ok || wait != 0 {
		t.Errorf("next report in %v, %v; want one at once to give units back", wait, ok)
	}
	if wait, ok := table.NextReport(2 * time.Second); ok {
		t.Errorf("next report in %v without a holder, want none before the usual one", wait)
	}
}

// Load pattern: requests of one unit wait at 5 of 350 daemons, which report every 1,020 ms, for 1.6 units a second. Guards
// against places in the line that end before the daemon's next report: each daemon then found another one before it, and none
// was ever served.
func TestLargeFleetServesDaemonsInTurn(t *testing.T) {
	const daemons, interval = 350, 1020 * time.Millisecond
	limits := map[string]Limit{testName: {Rate: 1.6, Burst: 1}}
	l, now := NewLedger(0), time.Hour
	l.SetInterval(interval)
	l.SetLimits(limits, now)
	served := 0
	waiting := map[int]float64{}
	for i := range 20 * daemons {
		d := i % daemons
		now += interval / daemons
		if d%70 != 3 {
			l.Report(strconv.Itoa(d), i < daemons, nil, true, now)
			continue
		}
		received := waiting[d]
		for _, g := range l.Report(strconv.Itoa(d), i < daemons, []Use{{ID: ID(testName), Received: received, Wanted: 1, First: 1}}, true, now) {
			waiting[d] += g.Units
			served += int(g.Units)
		}
	}
	if least := 12; served < least {
		t.Errorf("%d requests served in 20 s, want %d or more", served, least)
	}
}
