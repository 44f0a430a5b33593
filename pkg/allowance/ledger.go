package allowance

import (
	"maps"
	"slices"
	"time"
)

// availableTime is how long no request lacks units before an exhausted allowance counts as available again.
const availableTime = 5 * time.Second

// Ledger is the holder's state of all allowances in one tenure. It is not safe for concurrent use.
type Ledger struct {
	accounts map[uint64]*account
	names    map[uint64]string
	// began is when the first limits were set; started is set from then on.
	began   time.Duration
	started bool
	// expected is the number of daemons that may have followed an earlier holder; 0 if unknown.
	expected int
	// interval is the usual time between two reports of a daemon.
	interval time.Duration
	// recorded is the use that an earlier holder recorded, by the names of allowances; nil for no record.
	recorded map[string][recentParts]float64
	// seen is when each daemon last reported.
	seen map[string]time.Duration
	// exhausted is when requests last lacked units of the allowances of which Changes told so.
	exhausted map[uint64]time.Duration
	changes   []Change
}

// NewLedger returns a ledger without limits; expected is the number of daemons that may have followed an earlier holder, 0 if
// unknown.
func NewLedger(expected int) *Ledger {
	return &Ledger{expected: expected, accounts: map[uint64]*account{}, names: map[uint64]string{}, seen: map[string]time.Duration{}, exhausted: map[uint64]time.Duration{}}
}

// SetLimits sets the limits by the names of their allowances. The buckets of the first limits start empty, because an earlier
// holder may have lent all of them; those of later ones start full.
func (l *Ledger) SetLimits(limits map[string]Limit, now time.Duration) {
	ids := make(map[uint64]string, len(limits))
	for name, limit := range limits {
		id := ID(name)
		ids[id] = name
		a, ok := l.accounts[id]
		if !ok {
			a = newAccount(id, limit, l.started, l.prior(name), now)
			l.accounts[id] = a
		}
		a.setLimit(limit)
	}
	maps.DeleteFunc(l.accounts, func(id uint64, _ *account) bool { return ids[id] == "" })
	maps.DeleteFunc(l.exhausted, func(id uint64, _ time.Duration) bool { return ids[id] == "" })
	if !l.started {
		l.began, l.started = now, true
	}
	l.names = ids
}

// SetInterval sets the usual time between two reports of a daemon.
func (l *Ledger) SetInterval(interval time.Duration) { l.interval = interval }

// Adopt takes over the use that an earlier holder recorded, by the names of allowances. It is called before the first limits
// are set.
func (l *Ledger) Adopt(recorded map[string][recentParts]float64) { l.recorded = recorded }

func (l *Ledger) prior(name string) *[recentParts]float64 {
	if use, ok := l.recorded[name]; ok {
		return &use
	}
	return nil
}

// Record returns the use of the allowances with a window for the next holder, by their names; those without any are omitted.
func (l *Ledger) Record(now time.Duration) map[string][recentParts]float64 {
	out := map[string][recentParts]float64{}
	for id, a := range l.accounts {
		if a.limit.Window == 0 {
			continue
		}
		if use := a.record(now); use != [recentParts]float64{} {
			out[l.names[id]] = use
		}
	}
	return out
}

// Limited reports whether there is a limit.
func (l *Ledger) Limited() bool { return len(l.accounts) > 0 }

// Report applies the report of a daemon and returns what it is lent. first is set if the daemon has had no answer of this
// holder. Without lends nothing is lent and no part is prolonged.
func (l *Ledger) Report(daemon string, first bool, uses []Use, lends bool, now time.Duration) []Grant {
	if now-l.seen[daemon] >= silenceGrace(l.interval) {
		for _, a := range l.accounts {
			a.refill(now, l.settling(now), l.seen)
		}
	}
	l.seen[daemon] = now
	if first {
		for _, a := range l.accounts {
			delete(a.borrowers, daemon)
		}
	}
	var out []Grant
	for i := range uses {
		u := &uses[i]
		a, ok := l.accounts[u.ID]
		if !ok {
			continue
		}
		if g, ok := l.reportUse(a, daemon, first, u, lends, now); ok {
			out = append(out, g)
		}
	}
	l.noteAvailable(now)
	return out
}

func (l *Ledger) reportUse(a *account, daemon string, first bool, u *Use, lends bool, now time.Duration) (Grant, bool) {
	b := a.report(daemon, first, u, now)
	if b == nil {
		return Grant{}, false
	}
	a.refill(now, l.settling(now), l.seen)
	if !lends {
		return Grant{}, false
	}
	units, hold, wait := a.lend(b, u)
	if wait > 0 {
		l.noteExhausted(a, now)
	}
	return Grant{ID: a.id, Units: units, Hold: hold, Pace: b.silence.pace, Reserve: b.silence.reserve, Valid: lendTime, Wait: wait}, true
}

// settling returns what is left to an earlier holder now.
func (l *Ledger) settling(now time.Duration) settling {
	s := settling{capacity: 1, rate: 1, interval: l.interval}
	if now-l.began < lendTime {
		s.capacity = settleCapacity
	}
	s.began = l.began
	if l.expected > 0 {
		s.known = min(float64(len(l.seen))/float64(l.expected), 1)
	}
	if now-l.began < settleTime && l.expected > 0 {
		s.rate = s.known
	}
	return s
}

// AllFollow reports whether every daemon that has reported within forgetTime has done so within the given time. None of them
// holds the lease then, nor follows another holder.
func (l *Ledger) AllFollow(within, now time.Duration) bool {
	maps.DeleteFunc(l.seen, func(_ string, at time.Duration) bool { return now-at >= forgetTime })
	for _, at := range l.seen {
		if now-at >= within {
			return false
		}
	}
	return len(l.seen) > 0
}

func (l *Ledger) noteExhausted(a *account, now time.Duration) {
	if _, ok := l.exhausted[a.id]; !ok {
		l.changes = append(l.changes, l.change(a, true))
	}
	l.exhausted[a.id] = now
}

func (l *Ledger) noteAvailable(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(l.exhausted)) {
		if now-l.exhausted[id] >= availableTime {
			delete(l.exhausted, id)
			l.changes = append(l.changes, l.change(l.accounts[id], false))
		}
	}
}

func (l *Ledger) change(a *account, exhausted bool) Change {
	_, short := a.ahead(&borrower{})
	return Change{Name: l.names[a.id], Exhausted: exhausted, Limit: a.limit, Level: a.level, Outstanding: a.outstanding(), Short: short, Daemons: len(a.borrowers)}
}

// TakeChanges returns the changes since the last call.
func (l *Ledger) TakeChanges() []Change {
	out := l.changes
	l.changes = nil
	return out
}
