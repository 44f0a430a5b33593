package allowance

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// renewTime is the time after which a part in use is reported, so that it does not run out.
	renewTime = time.Second
	// refillTime is the least time between reports that ask only for units to hold.
	refillTime = 400 * time.Millisecond
	// excess is the multiple of the units to hold beyond which a daemon gives back at once; less than that is given back with
	// the next use that is told anyway.
	excess = 2
)

// waiter is a request that waits for units.
type waiter struct{ units float64 }

// part is what a daemon has of one allowance.
type part struct {
	id    uint64
	limit Limit
	// available may be used until expires.
	available float64
	expires   time.Duration
	// received and returned are totals since the first answer of the present holder.
	received float64
	returned float64
	// told is the last answered report; it was sent at toldAt. answered is set once there is one.
	told     Use
	toldAt   time.Duration
	answered bool
	// waiting are the requests that wait, in the order in which they began to.
	waiting []*waiter
	// silence is what the daemon gains while no holder lends, gained the total since the first answer of the holder.
	silence silence
	gained  float64
	// hold is what the holder lets the daemon keep while no request waits.
	hold float64
	// waitUntil is when the allowance covers what was wanted at the last report.
	waitUntil time.Duration
	usage     usage
	// recent is what requests used within the window of the limit, if it has one.
	recent usedWindow
	stats  Stats
}

// limited reports whether the allowance has a limit now.
func (p *part) limited() bool { return p.limit.Rate > 0 }

// free drops the units because the allowance has no limit any more. The totals stay: the holder may never learn of it.
func (p *part) free() { p.limit, p.available, p.waitUntil, p.silence = Limit{}, 0, 0, silence{} }

// lapse adds units that the daemon gains without a holder, since it last heard from one, and drops those that have run out.
func (p *part) lapse(heard, grace, now time.Duration) {
	units := p.silence.gain(heard, now, grace)
	p.available += units
	p.gained += units
	if now >= p.expires {
		p.stats.Lapsed += p.available
		p.available = 0
	}
}

// wanted returns the sum of what requests wait for.
func (p *part) wanted() float64 {
	sum := 0.0
	for _, w := range p.waiting {
		sum += w.units
	}
	return sum
}

// ahead returns what is wanted by the requests that are served before one of that size, and whether one of that size waits.
// Requests of the same size are interchangeable, so the asking one counts as the first of them.
func (p *part) ahead(units float64) (sum float64, waits bool) {
	for _, w := range p.waiting {
		if w.units == units {
			return sum, true
		}
		sum += w.units
	}
	return sum, false
}

func (p *part) take(units float64, heard, grace, now time.Duration) Result {
	p.lapse(heard, grace, now)
	ahead, waits := p.ahead(units)
	if !waits {
		p.stats.Asked += units
	}
	covered := p.available-ahead >= units
	if !covered && ahead == 0 && p.available > 0 && now-heard >= grace {
		covered = p.draw(units, now)
	}
	if covered {
		p.available = max(p.available-units, 0)
		p.usage.add(units, now)
		if p.limit.Window > 0 {
			p.recent.add(units, now, now)
		}
		p.stats.Taken += units
		return Result{Taken: true}
	}
	wait := p.retryAfter(now)
	if wait > 0 && !waits {
		p.stats.Refused += units
	}
	return Result{RetryAfter: wait}
}

// draw decides by lot on a request larger than what the daemon has while no holder lends, so that all daemons together use
// what they have although none has enough for a request. What it has is used up either way.
func (p *part) draw(units float64, now time.Duration) bool {
	const lots = 1 << 16
	lot := float64(xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(now)^p.id))%lots) / lots
	won := lot < p.available/units
	p.available = 0
	return won
}

// retryAfter returns the wait that the holder told, longer by what requests have come to wait for here since.
func (p *part) retryAfter(now time.Duration) time.Duration {
	if p.waitUntil <= now {
		return 0
	}
	more := max(p.wanted()-p.told.Wanted, 0)
	return p.waitUntil - now + time.Duration(more/p.limit.Rate*float64(time.Second))
}

// use returns what the holder has to be told now; ok is false if that is nothing. Units that are given back are deducted.
func (p *part) use(heard, grace, now time.Duration) (out Use, ok bool) {
	p.lapse(heard, grace, now)
	spare := p.usage.spare(now)
	hold := min(p.hold, spare)
	silent := now-heard >= grace
	recent := p.recentUse(now)
	if (p.answered || recent == [recentParts]float64{}) && !p.due(spare, hold, silent, now) {
		return Use{}, false
	}
	out = Use{ID: p.id, Received: p.received, Wanted: math.Ceil(p.wanted()), First: math.Ceil(p.usage.size), Spare: spare, Rate: math.Ceil(p.usage.decayed(now)), Recent: recent}
	if len(p.waiting) > 0 {
		out.First = math.Ceil(p.waiting[0].units)
	} else if back := math.Floor(p.available - hold); back > 0 && !silent {
		p.available -= back
		p.returned += back
	}
	out.Returned, out.Available, out.Gained = p.returned, math.Floor(p.available), math.Ceil(p.gained)
	return out, true
}

// recentUse returns what was used within the window of the limit, the latest part first; nothing if it has none.
func (p *part) recentUse(now time.Duration) (out [recentParts]float64) {
	if p.limit.Window == 0 {
		return out
	}
	for i := range out {
		out[i] = math.Ceil(p.recent.between(now, i*usedSlots/recentParts, (i+1)*usedSlots/recentParts))
	}
	return out
}

// setLimit changes the limit. What was used within a window of another length is forgotten: no bound spans both.
func (p *part) setLimit(limit Limit) {
	if limit.Window > 0 && limit.Window != p.recent.length {
		p.recent = usedWindow{length: limit.Window}
	}
	p.limit = limit
}

// due reports whether the holder has to be told something now. silent is set if no holder lends; what the daemon has is
// then kept.
func (p *part) due(spare, hold float64, silent bool, now time.Duration) bool {
	since := now - p.toldAt
	switch {
	case len(p.waiting) > 0 || p.told.Wanted > 0 || p.told.Returned != p.returned:
		return true
	case math.Floor(p.available) > excess*hold && !silent:
		return true
	case !p.answered || since >= renewTime:
		return p.available > 0 || spare > 0
	default:
		return since >= refillTime && p.available < hold/2
	}
}

// nextReport returns the time until an early report: when the holder has units for a waiting request, as it told, and at once
// when the daemon got units for requests that no longer wait. Without a holder there is nobody to tell.
func (p *part) nextReport(heard, grace, now time.Duration) (time.Duration, bool) {
	if now-heard >= grace {
		return 0, false
	}
	if len(p.waiting) > 0 {
		return p.waitUntil - now, p.waitUntil > now
	}
	return 0, now < p.expires && math.Floor(p.available) > excess*min(p.hold, p.usage.spare(now))
}

// apply applies the answer to a report that was sent at the given time.
func (p *part) apply(told *Use, g *Grant, sent time.Duration) {
	p.available += g.Units
	p.received += g.Units
	p.stats.Lent += g.Units
	p.hold, p.silence.pace, p.silence.reserve = g.Hold, g.Pace, g.Reserve
	p.expires = max(p.expires, sent+g.Valid)
	p.told, p.toldAt, p.answered = *told, sent, true
	p.waitUntil = 0
	if g.Wait > 0 {
		p.waitUntil = sent + g.Wait
	}
}

// restart forgets the totals of the last holder. The units that were lent stay until they run out.
func (p *part) restart() {
	p.received, p.returned, p.told, p.answered, p.waitUntil, p.gained, p.silence = 0, 0, Use{}, false, 0, 0, silence{}
}

func (p *part) remove(w *waiter) {
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}
