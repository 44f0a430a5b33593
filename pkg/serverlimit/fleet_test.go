package serverlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simFleet plays daemons that send requests to one server with a limit, in virtual time. Reports reach the holder at
// once; the daemons send them one after the other within each period.
type simFleet struct {
	tables []*Table
	totals *Totals
	// waiting is the number of requests that each daemon holds back.
	waiting []int
	period  time.Duration
	now     time.Time
	sends   []time.Time
	// holderLost is set while no daemon gets totals.
	holderLost bool
	limit      float64
	random     *rand.Rand
}

const simStep = 5 * time.Millisecond

func newSimFleet(daemons int, limit float64) *simFleet {
	f := &simFleet{totals: NewTotals(), waiting: make([]int, daemons), now: time.Unix(1000, 0), limit: limit,
		period: 60*time.Millisecond + time.Duration(max(daemons-30, 0))*3*time.Millisecond, random: rand.New(rand.NewPCG(1, 2))}
	for range daemons {
		table := NewTable(f.random.Float64)
		table.Restart(f.now)
		f.tables = append(f.tables, table)
	}
	return f
}

// play runs the fleet while requests arrive at the given rate at all daemons together. Each request waits until it may be
// sent.
func (f *simFleet) play(rate float64, span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(simStep) {
		for d := range f.tables {
			if f.random.Float64() < rate*simStep.Seconds()/float64(len(f.tables)) {
				f.offer(d, false)
			}
			if phase := f.period * time.Duration(d) / time.Duration(len(f.tables)); f.now.Add(phase).UnixNano()/int64(f.period) != f.now.Add(phase+simStep).UnixNano()/int64(f.period) {
				f.report(d)
			}
		}
	}
}

// offer tries to send a request of a daemon.
func (f *simFleet) offer(d int, held bool) {
	if !f.tables[d].Allows("s", held, f.now) {
		f.tables[d].RecordHeld([]string{"s"}, f.now)
		if !held {
			f.waiting[d]++
		}
		return
	}
	if held {
		f.waiting[d]--
	}
	f.tables[d].RecordSend("s", f.now)
	f.tables[d].Observe("s", Observation{Rate: f.limit, At: f.now})
	f.sends = append(f.sends, f.now)
}

// report sends one report of a daemon and lets its waiting requests try again.
func (f *simFleet) report(d int) {
	if !f.holderLost {
		reports := f.tables[d].Reports(f.now)
		for i := range reports {
			f.totals.Apply(fmt.Sprint(d), &reports[i], f.now)
		}
		f.tables[d].Apply(reports, f.totals.List(fmt.Sprint(d), f.now), len(f.tables), f.now)
	}
	for range f.waiting[d] {
		f.offer(d, true)
	}
}

// replaceHolder makes a new holder without totals answer the reports.
func (f *simFleet) replaceHolder() {
	f.totals = NewTotals()
	for _, table := range f.tables {
		table.Restart(f.now)
	}
}

// most returns the largest number of sends within 4 s since the given time.
func (f *simFleet) most(since time.Time) int {
	most := 0
	for i, first := range f.sends {
		n := 0
		for _, at := range f.sends[i:] {
			if at.Sub(first) < 4*time.Second {
				n++
			}
		}
		if !first.Before(since) {
			most = max(most, n)
		}
	}
	return most
}

func (f *simFleet) check(t *testing.T, what string, since time.Time) {
	t.Helper()
	allowed := int(1.5*f.limit*4) + 5
	if n := f.most(since); n > allowed {
		t.Errorf("%s, %d daemons, limit %v: %d requests in 4 s, want at most %d", what, len(f.tables), f.limit, n, allowed)
	}
}

var simSizes = []int{1, 5, 31, 103, 350}

// Load pattern: daemons send twice as many requests as the server takes, then none for a while, then a crowd that waited
// for a model to be loaded there, at fleets of all sizes. Guards against daemons that all use the same free part of the
// limit, and against a limit that is hardly used because many share it.
func TestFleetKeepsTheLimit(t *testing.T) {
	for _, daemons := range simSizes {
		for _, limit := range []float64{0.5, 1.6, 20} {
			f := newSimFleet(daemons, limit)
			for _, table := range f.tables {
				table.Observe("s", Observation{Rate: limit, At: f.now})
			}
			began := f.now
			f.play(2*limit, 12*time.Second)
			if n := len(f.sends); float64(n) < limit*12/2 {
				t.Errorf("%d daemons, limit %v: %d requests sent in 12 s, want half of the limit or more", daemons, limit, n)
			}
			for d := range f.waiting {
				f.waiting[d] = 0
			}
			f.play(limit/10, 4*time.Second)
			for d := range f.waiting {
				f.waiting[d] += 4
			}
			f.play(0, 8*time.Second)
			f.check(t, "load and crowd", began.Add(4*time.Second))
		}
	}
}

// Load pattern: twice the limit, while the lease changes hands twice and there is no holder for three seconds in between.
// Guards against a new holder that knows of no earlier request, and against daemons that use the whole limit each while
// there is none.
func TestLimitHoldsAcrossHolders(t *testing.T) {
	for _, daemons := range simSizes {
		f := newSimFleet(daemons, 1.6)
		for _, table := range f.tables {
			table.Observe("s", Observation{Rate: f.limit, At: f.now})
		}
		began := f.now
		for range 3 {
			f.play(2*f.limit, 6*time.Second)
			f.holderLost = true
			f.play(2*f.limit, 3*time.Second)
			f.holderLost = false
			f.replaceHolder()
		}
		f.play(2*f.limit, 6*time.Second)
		f.check(t, "holders", began.Add(4*time.Second))
	}
}

// Guards against a limit that holds after the server has lifted it, or for ever when the server gets no more requests,
// and against one that an older response brings back.
func TestLimitEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	table := NewTable(rand.Float64)
	if changed, _ := table.Observe("s", Observation{Rate: 2, At: start}); !changed || table.Limited(start) != 1 {
		t.Fatalf("limited servers after a limit: %d, want 1", table.Limited(start))
	}
	table.Observe("s", Observation{At: start.Add(time.Second)})
	table.Observe("s", Observation{Rate: 2, At: start.Add(time.Second / 2)})
	if n := table.Limited(start.Add(time.Second)); n != 0 {
		t.Errorf("limited servers after the limit was lifted: %d, want 0", n)
	}
	table.Observe("s", Observation{Rate: 2, At: start.Add(2 * time.Second)})
	if n := table.Limited(start.Add(2*time.Second + observationTime)); n != 0 {
		t.Errorf("limited servers %v after the last response: %d, want 0", observationTime, n)
	}
}
