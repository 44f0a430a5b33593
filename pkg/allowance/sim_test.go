package allowance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	simTick = 5 * time.Millisecond
	// simDelay is the time of a message between regions one way.
	simDelay   = 20 * time.Millisecond
	simTimeout = 800 * time.Millisecond
	// simPatience is how long a request waits for units.
	simPatience = 250 * time.Millisecond
	simName     = "workspace/w"
)

// simHolder is a daemon that holds the lease, or believes to.
type simHolder struct {
	ledger *Ledger
	tenure int
	// confirmed is its last renewal; it goes on renewing while stored is set.
	confirmed time.Duration
	stored    bool
	// dead ends it; while frozen it answers nothing and then what has come meanwhile.
	dead, frozen bool
}

type simRequest struct {
	units float64
	until time.Duration
	done  func()
}

type simDaemon struct {
	name    string
	table   *Table
	holder  *simHolder
	tenure  int
	waiting []simRequest
	changed <-chan struct{}
	// cut drops all messages; stopped stops its clock at the time.
	cut bool
	// stays makes the daemon follow its holder even if there is another one.
	stays   bool
	stopped time.Duration
	// report is the one in progress, nil for none.
	report *simReport
	next   time.Duration
}

// simReport is a message on its way to the holder, then back.
type simReport struct {
	daemon   string
	to       *simHolder
	uses     []Use
	first    bool
	tenure   int
	grants   []Grant
	sent, at time.Duration
	answered bool
	lends    bool
}

type simSend struct {
	at    time.Duration
	units float64
}

// simFleet plays daemons and holders in virtual time, with one allowance.
type simFleet struct {
	limit   Limit
	daemons []*simDaemon
	holder  *simHolder
	holders []*simHolder
	// late are reports whose daemons have given up waiting for an answer.
	late []*simReport
	now  time.Duration
	// interval is the time between two reports of a daemon.
	interval time.Duration
	random   *rand.Rand
	sends    []simSend
	// hot is the daemon that gets all requests; -1 spreads them.
	hot    int
	size   func() float64
	ideal  simIdeal
	admits float64
	// entries is the number of uses in reports.
	entries int
}

// simIdeal is a limiter that knows all requests at once and lets them wait as the daemons do.
type simIdeal struct {
	level  float64
	queue  []simRequest
	admits float64
}

func newSimFleet(daemons int, limit Limit, seed uint64) *simFleet {
	f := &simFleet{limit: limit, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, hot: -1}
	// Short and long requests of the first customer, in tokens.
	f.size = func() float64 {
		if f.random.Float64() < 0.5 {
			return 826
		}
		return 9190
	}
	f.ideal.level = limit.Burst
	f.interval = 60*time.Millisecond + time.Duration(max(daemons-30, 0))*3*time.Millisecond
	for n := range daemons {
		d := &simDaemon{name: fmt.Sprint(n), next: f.now + time.Duration(n)*time.Millisecond}
		f.restart(d)
		f.daemons = append(f.daemons, d)
	}
	f.replaceHolder()
	return f
}

// restart starts the process of a daemon.
func (f *simFleet) restart(d *simDaemon) {
	d.table, d.tenure, d.waiting, d.report = NewTable(), 0, nil, nil
	d.changed = d.table.Changed()
	d.table.SetInterval(f.interval)
	d.table.SetLimits(map[string]Limit{simName: f.limit})
}

// replaceHolder makes another daemon the holder. Daemons learn of it within half a second.
func (f *simFleet) replaceHolder() {
	expected := len(f.daemons)
	if len(f.holders) == 0 {
		expected = 0
	}
	f.holder = &simHolder{ledger: NewLedger(expected), tenure: len(f.holders) + 1, confirmed: f.now, stored: true}
	f.holder.ledger.SetInterval(f.interval)
	f.holder.ledger.SetLimits(map[string]Limit{simName: f.limit}, f.now)
	f.holders = append(f.holders, f.holder)
}

// setLimit publishes another limit; one without a rate removes it.
func (f *simFleet) setLimit(limit Limit) {
	f.limit = limit
	limits := map[string]Limit{}
	if limit.Rate > 0 {
		limits[simName] = limit
	}
	f.holder.ledger.SetLimits(limits, f.now)
	for _, d := range f.daemons {
		d.table.SetLimits(limits)
	}
}

// play offers so many units a second for a time.
func (f *simFleet) play(rate float64, span time.Duration) {
	for end := f.now + span; f.now < end; f.now += simTick {
		for _, h := range f.holders {
			if h.stored && !h.frozen {
				h.confirmed = f.now
			}
		}
		f.arrive(rate * simTick.Seconds())
		f.ideal.serve(f.limit, f.now)
		for _, d := range f.daemons {
			f.step(d)
		}
		late := f.late
		f.late = nil
		for _, r := range late {
			if !r.answered && !f.answer(r) {
				f.late = append(f.late, r)
			}
		}
	}
}

// arrive lets requests of about so many units arrive.
func (f *simFleet) arrive(units float64) {
	const mean = 5008
	for expected := units / mean; expected > 0; expected-- {
		if f.random.Float64() >= expected {
			continue
		}
		r := simRequest{units: f.size(), until: f.now + simPatience}
		f.ideal.queue = append(f.ideal.queue, r)
		d := f.hot
		if d < 0 {
			d = f.random.IntN(len(f.daemons))
		}
		f.offer(f.daemons[d], r)
	}
}

func (i *simIdeal) serve(limit Limit, now time.Duration) {
	i.level = min(i.level+limit.Rate*simTick.Seconds(), limit.Burst)
	left := i.queue[:0]
	for _, r := range i.queue {
		switch {
		case len(left) == 0 && i.level >= min(r.units, limit.Burst):
			i.level -= r.units
			i.admits += r.units
		case now < r.until:
			left = append(left, r)
		}
	}
	i.queue = left
}

func (f *simFleet) clock(d *simDaemon) time.Duration {
	if d.stopped > 0 {
		return d.stopped
	}
	return f.now
}

// offer handles a request as a gateway does: it takes units, waits for them, or is refused at once.
func (f *simFleet) offer(d *simDaemon, r simRequest) {
	result := d.table.Take(simName, r.units, f.clock(d))
	switch {
	case result.Taken:
		f.admit(r)
	case result.RetryAfter <= simPatience:
		r.done = d.table.Await(simName, r.units)
		d.waiting = append(d.waiting, r)
	}
}

func (f *simFleet) admit(r simRequest) {
	f.sends = append(f.sends, simSend{f.now, r.units})
	f.admits += r.units
}

// retry lets waiting requests take units, or give up.
func (f *simFleet) retry(d *simDaemon, changed bool) {
	left := d.waiting[:0]
	for _, r := range d.waiting {
		switch {
		case changed && d.table.Take(simName, r.units, f.clock(d)).Taken:
			f.admit(r)
			r.done()
		case f.now >= r.until:
			r.done()
		default:
			left = append(left, r)
		}
	}
	d.waiting = left
}

// wake lets waiting requests have the daemon report at once, and try again after a change.
func (f *simFleet) wake(d *simDaemon) {
	select {
	case <-d.table.Wanted():
		d.next = min(d.next, f.now+2*simTick)
	default:
	}
	select {
	case <-d.changed:
		d.changed = d.table.Changed()
		f.retry(d, true)
	default:
		f.retry(d, false)
	}
}

func (f *simFleet) step(d *simDaemon) {
	if r := d.report; r != nil {
		switch {
		case f.now-r.sent >= simTimeout:
			f.late = append(f.late, r)
			d.report = nil
		case d.cut || f.now < r.at:
		case r.to.dead:
			// The connection is refused.
			d.report = nil
		case !r.answered:
			f.answer(r)
		default:
			d.table.Apply(r.uses, r.grants, r.first, r.lends, r.sent)
			d.tenure, d.report = r.tenure, nil
			if wait, ok := d.table.NextReport(f.clock(d)); ok {
				d.next = min(d.next, f.now+max(wait, 25*time.Millisecond))
			}
		}
	}
	if len(d.waiting) > 0 {
		f.wake(d)
	}
	if d.holder != f.holder && (d.holder == nil || f.random.Float64() < 0.05) && !d.cut && !d.stays {
		d.holder, d.tenure = f.holder, 0
	}
	if d.report == nil && f.now >= d.next {
		d.next = f.now + f.interval
		r := &simReport{daemon: d.name, to: d.holder, first: d.tenure != d.holder.tenure, uses: d.table.Uses(f.clock(d)), sent: f.clock(d), at: f.now + simDelay}
		f.entries += len(r.uses)
		d.report = r
	}
}

// answer lets the holder answer a report; it returns whether the report is done with.
func (f *simFleet) answer(r *simReport) bool {
	h := r.to
	if h.dead || h.frozen {
		return h.dead
	}
	lends := f.now-h.confirmed < 1500*time.Millisecond || h.ledger.AllFollow(5*f.interval, f.now)
	r.lends = lends
	r.grants = h.ledger.Report(r.daemon, r.first, r.uses, lends, f.now)
	r.tenure, r.answered, r.at = h.tenure, true, f.now+simDelay
	return true
}

// check fails if in some 8 s more ran than the first customer's rule allows.
func (f *simFleet) check(t *testing.T, limit Limit) {
	t.Helper()
	const window = 8 * time.Second
	allowed := (limit.Rate*window.Seconds()+limit.Burst)*1.1 + 110_000
	sum, first := 0.0, 0
	for i, s := range f.sends {
		for sum += s.units; s.at-f.sends[first].at >= window; first++ {
			sum -= f.sends[first].units
		}
		if sum > allowed {
			t.Fatalf("%d daemons, rate %.0f: %.0f units in the 8 s to %v (request %d), want at most %.0f", len(f.daemons), limit.Rate, sum, s.at-time.Hour, i, allowed)
		}
	}
}

// share checks what was admitted since the given sums against the limiter that knows all.
func (f *simFleet) share(t *testing.T, what string, least float64) {
	t.Helper()
	t.Logf("%s, %d daemons, rate %.0f: %.3f of the ideal limiter", what, len(f.daemons), f.limit.Rate, f.admits/f.ideal.admits)
	if f.admits < least*f.ideal.admits {
		t.Errorf("%s, %d daemons, rate %.0f: %.3f of what a limiter that knows all admits, want %.2f", what, len(f.daemons), f.limit.Rate, f.admits/f.ideal.admits, least)
	}
	f.admits, f.ideal.admits = 0, 0
}
