package allowance

import (
	"math"
	"time"
)

const (
	// lendTime is how long after a report the daemon may use what it has. It covers the replacement of the holder.
	lendTime = 4 * time.Second
	// reportLag is the use that the holder does not know of yet. Units that have been used count as outstanding for that long,
	// so the bucket may hold that much more.
	reportLag = 250 * time.Millisecond
	// kept is the part of the burst that is not lent for requests to come; daemons hold at most the rest of what can be used
	// at once for them.
	kept = 0.25
	// reserved is the part of what could be lent that daemons may use when they do not hear of the holder.
	reserved = 0.5
	// minReported bounds the use that a new holder infers from the part of the daemons that have reported.
	minReported = 0.1
	// mostReported is the part of the daemons from which on a new holder goes by what they told of their recent use.
	mostReported = 0.8
	// unseenFactor multiplies the use of the last quarter of a window for what was used after a record of it.
	unseenFactor = 2
	// forgetTime is the time without a report after which a daemon is forgotten.
	forgetTime = 30 * time.Second
)

// account is the holder's state of one allowance. The sum of level and what is outstanding never exceeds the burst (and the
// use within reportLag), so what daemons use in any time t is at most burst + rate*t, however late they use it.
type account struct {
	id    uint64
	limit Limit
	// level is what can be lent; it is negative after a request larger than the bucket.
	level float64
	at    time.Duration
	// full is set while the bucket gains nothing because of what is outstanding.
	full      bool
	borrowers map[string]*borrower
	turns     uint64
	// used is what daemons used within the window of the limit, if it has one, in this tenure; told is what they told of their
	// use before it, and unknown what may have been used then. The level follows from them.
	used    usedWindow
	told    usedWindow
	unknown usedWindow
}

// newAccount returns the state of an allowance. full is set if nothing of it can have been used lately; otherwise it counts as
// used up to its limit: as an earlier holder recorded it (prior), or evenly if there is no record (nil).
func newAccount(id uint64, limit Limit, full bool, prior *[recentParts]float64, now time.Duration) *account {
	a := &account{id: id, at: now, borrowers: map[string]*borrower{}}
	a.setLimit(limit)
	switch {
	case full:
		a.level = limit.Burst
	case limit.Window > 0 && prior != nil:
		a.adoptPrior(prior, now)
	case limit.Window > 0:
		a.seed(now)
	}
	return a
}

// adoptPrior fills the window of what is unknown with the use that an earlier holder recorded. What was used since, for about a
// second, counts as unseenFactor times the latest part and half a second of the rate. A flood of more than five times the usual
// that begins in that second, just before all daemons are lost, is not covered.
func (a *account) adoptPrior(prior *[recentParts]float64, now time.Duration) {
	rest := a.limit.most()
	unseen := unseenFactor*prior[0] + a.limit.Rate/2
	for i, units := range prior {
		a.unknown.add(units, now, now-time.Duration(i)*a.limit.Window/recentParts)
		rest -= units
	}
	a.unknown.add(min(rest, unseen), now, now)
}

// record returns the use within the window for the next holder, the latest part first. What daemons may still use counts as
// used now.
func (a *account) record(now time.Duration) (out [recentParts]float64) {
	for i := range out {
		from, to := i*usedSlots/recentParts, (i+1)*usedSlots/recentParts
		out[i] = a.used.between(now, from, to) + max(a.told.between(now, from, to), a.unknown.between(now, from, to))
	}
	out[0] += a.outstanding()
	return out
}

// setLimit changes the limit. What was used within a window of another length counts as used evenly.
func (a *account) setLimit(limit Limit) {
	if limit.Window > 0 && limit.Window != a.used.length {
		sum := a.used.total
		empty := usedWindow{length: limit.Window}
		a.used, a.told, a.unknown = empty, empty, empty
		a.used.add(sum, a.at, a.at)
	}
	a.limit = limit
}

// seed fills the window of what is unknown as if the limit had been used evenly.
func (a *account) seed(now time.Duration) {
	slot := a.limit.Window / usedSlots
	for n := range usedSlots {
		a.unknown.add(a.limit.Rate*slot.Seconds(), now, now-time.Duration(n)*slot)
	}
	a.unknown.add(a.limit.Burst, now, now)
}

// outstanding returns what daemons may still use.
func (a *account) outstanding() float64 {
	sum := 0.0
	for _, b := range a.borrowers {
		sum += b.outstanding
	}
	return sum
}

// refill advances the bucket to now; seen is when each daemon last reported.
func (a *account) refill(now time.Duration, s settling, seen map[string]time.Duration) {
	for name, b := range a.borrowers {
		a.level -= b.charge(seen[name], now, silenceGrace(s.interval))
		if now >= b.expires {
			a.use(b.outstanding, now)
			b.outstanding = 0
		}
		if now-b.seen >= waitTime(s.interval) {
			b.short, b.need, b.turn = 0, 0, 0
		}
		if now-b.seen >= idleTime {
			b.spare, b.rate = 0, 0
		}
		if now-b.seen >= forgetTime {
			delete(a.borrowers, name)
		}
	}
	if a.limit.Window > 0 {
		a.at = max(a.at, now)
		// Daemons that have not reported yet count as having used as much as the others.
		before := a.told.sum(now)
		if s.known > 0 {
			before /= max(s.known, minReported)
		}
		if s.known < mostReported {
			before = max(before, a.unknown.sum(now))
		}
		used := a.used.sum(now) + before
		a.level = a.limit.most() - used - a.outstanding()
		a.full = used < 1
		return
	}
	if now > a.at {
		a.level += s.rate * a.limit.Rate * (now - a.at).Seconds()
		a.at = now
	}
	ceiling := max(s.capacity*(a.limit.Burst+a.limit.Rate*reportLag.Seconds())-a.outstanding(), 0)
	a.full = a.level >= ceiling
	a.level = min(a.level, ceiling)
}

// use counts units that a daemon has used, or that have run out.
func (a *account) use(units float64, now time.Duration) {
	if a.limit.Window > 0 {
		a.used.add(units, now, now)
	}
}

// useRecent counts what a daemon used before it reported to this holder.
func (a *account) useRecent(u *Use, now time.Duration) {
	if a.limit.Window == 0 {
		return
	}
	for i, units := range u.Recent {
		// The youngest units of each part count, so none leave the window too early.
		a.told.add(units, now, now-time.Duration(i)*a.limit.Window/recentParts)
	}
}

// report applies what a daemon tells and returns its state; nil for a report that is older than the last one. first is set
// if the daemon has had no answer of this holder.
func (a *account) report(daemon string, first bool, u *Use, now time.Duration) *borrower {
	b, known := a.borrowers[daemon]
	switch {
	case first:
		b = &borrower{fresh: true}
		a.useRecent(u, now)
	case !known:
		b = &borrower{}
		b.adopt(u)
		a.useRecent(u, now)
	default:
		back, ok := b.settle(u)
		if !ok {
			return nil
		}
		a.level += back
		a.use(b.outstanding-back-u.Available, now)
	}
	a.borrowers[daemon] = b
	b.outstanding, b.seen = u.Available, now
	// Parts from earlier holders run out at the latest when one that was lent now would.
	b.expires = max(b.expires, now+lendTime)
	b.short, b.need = max(u.Wanted-u.Available, 0), max(u.First-u.Available, 0)
	b.spare, b.rate = u.Spare, u.Rate
	if u.Wanted == 0 {
		b.need = 0
	}
	switch {
	case b.short == 0:
		b.turn = 0
	case b.turn == 0:
		a.turns++
		b.turn = a.turns
	}
	return b
}

// ahead returns what the first requests of the daemons before this one lack, and short what all requests lack.
func (a *account) ahead(b *borrower) (ahead, short float64) {
	for _, other := range a.borrowers {
		short += other.short
		if other.turn > 0 && other.turn < b.turn {
			ahead += min(other.need, a.limit.most())
		}
	}
	return ahead, short
}

// lend decides what a daemon gets now and how long requests that lack units will wait.
func (a *account) lend(b *borrower, u *Use) (units, hold float64, wait time.Duration) {
	ahead, short := a.ahead(b)
	if b.short > 0 {
		units = a.lendWanted(b, ahead, short)
	}
	if short == b.short && units >= b.short {
		// Nobody waits: the rest may be lent for requests to come.
		hold = a.hold(u)
		units += a.lendSpare(hold, u.First, max(u.Available+units-u.Wanted, 0), units)
	}
	a.level -= units
	b.granted += units
	b.outstanding += units
	a.promise(b, u)
	if b.short == 0 {
		return units, hold, 0
	}
	served := min(units, b.short)
	b.short -= served
	if served > 0 {
		b.need, b.turn = min(b.short, b.need), 0
		if b.short > 0 {
			a.turns++
			b.turn = a.turns
		}
	}
	if b.short == 0 {
		return units, hold, 0
	}
	return units, hold, a.waitFor(short - served)
}

// promise decides what a daemon may use without a holder. All daemons together get the rate and a part of what could be lent.
func (a *account) promise(b *borrower, u *Use) {
	rates, pace, reserve := 0.0, 0.0, 0.0
	for _, other := range a.borrowers {
		rates += other.rate
		if other != b {
			pace += other.pace()
			reserve += other.reserve()
		}
	}
	b.before = b.silence
	rate, level := a.limit.Rate, max(a.level, 0)
	if a.limit.Window > 0 {
		// What has been used comes back all at once, so only what can be lent now is certain to be there.
		rate = min(rate, level/silenceTime.Seconds())
		level -= rate * silenceTime.Seconds()
	}
	part, spare := u.Rate/max(rates, 1), level*reserved
	b.silence.pace = math.Floor(max(min(part*rate, rate-pace), 0))
	b.silence.reserve = math.Floor(max(min(part*spare, spare-reserve), 0))
}

// hold returns what a daemon may keep while none of its requests waits: what it wants, less if all daemons together want more
// than may be lent for that, and nothing if that would not be enough for one request.
func (a *account) hold(u *Use) float64 {
	sum := 0.0
	for _, b := range a.borrowers {
		sum += b.spare
	}
	hold := u.Spare
	if most := (1 - kept) * a.limit.most(); sum > most {
		hold *= most / sum
	}
	if hold < u.First {
		return 0
	}
	return math.Floor(hold)
}

// lendSpare returns what a daemon gets for requests to come, which has so much of what it may hold. A part that does not cover
// one request would be of no use to anybody.
func (a *account) lendSpare(hold, request, has, lent float64) float64 {
	units := math.Floor(max(min(hold-has, a.level-lent-kept*a.limit.Burst), 0))
	if has+units < request {
		return 0
	}
	return units
}

// lendWanted returns what waiting requests get: at least what the first one lacks, or nothing. A request larger than
// what the bucket comes to hold, because of its size or of what is outstanding, is lent when the bucket is full, and leaves a
// debt.
func (a *account) lendWanted(b *borrower, ahead, short float64) float64 {
	free := a.level - ahead
	switch {
	case b.need > free && ahead == 0 && a.full:
		return b.need
	case b.need > free:
		return 0
	case short <= free:
		return b.short
	default:
		// What is more than one request may be a part of another one that is of no use to anybody, so only a rich bucket
		// lends it.
		return max(b.need, math.Floor(free*b.short/short-b.need))
	}
}

// waitFor returns the time until the bucket covers the units, at least a millisecond.
func (a *account) waitFor(units float64) time.Duration {
	if a.limit.Window > 0 {
		return max(min(a.used.until(units-a.level, a.at), a.told.until(units-a.level, a.at), a.unknown.until(units-a.level, a.at)), time.Millisecond)
	}
	return max(time.Duration((units-a.level)/a.limit.Rate*float64(time.Second)), time.Millisecond)
}
