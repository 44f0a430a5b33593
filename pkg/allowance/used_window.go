package allowance

import "time"

// usedSlots is the number of parts in which a window is counted.
const usedSlots = 80

// usedWindow sums the units used within a sliding window. Units count for up to one slot longer than the window, so the sum is
// never too small. The zero value is an empty window; its length is set before the first use.
type usedWindow struct {
	length time.Duration
	units  [usedSlots + 1]float64
	total  float64
	// last is the number of the newest slot.
	last int64
}

// advance drops the slots that are older than the window.
func (w *usedWindow) advance(now time.Duration) {
	current := int64(now / (w.length / usedSlots))
	if current-w.last > usedSlots {
		w.units, w.total, w.last = [usedSlots + 1]float64{}, 0, current
		return
	}
	for w.last < current {
		w.last++
		slot := &w.units[w.last%int64(len(w.units))]
		w.total -= *slot
		*slot = 0
	}
	// The sum of what was added and dropped is exact only up to rounding.
	w.total = max(w.total, 0)
}

// add counts units that were used at a time within the window.
func (w *usedWindow) add(units float64, now, at time.Duration) {
	w.advance(now)
	slot := min(int64(at/(w.length/usedSlots)), w.last)
	if units > 0 && w.last-slot <= usedSlots {
		w.units[slot%int64(len(w.units))] += units
		w.total += units
	}
}

// sum returns the units within the window.
func (w *usedWindow) sum(now time.Duration) float64 {
	w.advance(now)
	return w.total
}

// between returns the units in the slots of the given ages; the oldest slot belongs to the last age of the window.
func (w *usedWindow) between(now time.Duration, from, to int) float64 {
	w.advance(now)
	if to == usedSlots {
		to++
	}
	sum := 0.0
	for age := from; age < to; age++ {
		sum += w.units[(w.last-int64(age))%int64(len(w.units))]
	}
	return sum
}

// until returns the time until so many units have left the window; its length if it holds fewer.
func (w *usedWindow) until(units float64, now time.Duration) time.Duration {
	w.advance(now)
	slot := w.length / usedSlots
	for n := w.last - usedSlots; n <= w.last; n++ {
		units -= w.units[n%int64(len(w.units))]
		if units <= 0 {
			return max(time.Duration(n+usedSlots+1)*slot-now, slot)
		}
	}
	return w.length
}
