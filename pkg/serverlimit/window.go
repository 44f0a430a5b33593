package serverlimit

import "time"

const (
	// Span is the time over which requests are counted. A shorter one would leave less room for requests that come
	// unevenly, a longer one would let them come all at once.
	Span = 2 * time.Second
	// slots is the number of counters in which a window counts.
	slots    = 20
	slotSpan = Span / slots
)

// Window counts requests within the last Span. The zero value is an empty window.
type Window struct {
	counts [slots]int
	total  int
	// last is the number of the newest counter since the Unix epoch.
	last int64
}

// advance drops the counters that are older than Span.
func (w *Window) advance(now time.Time) {
	current := now.UnixNano() / int64(slotSpan)
	for n := max(w.last+1, current-slots+1); n <= current; n++ {
		w.total -= w.counts[n%slots]
		w.counts[n%slots] = 0
	}
	w.last = max(w.last, current)
}

// Add counts n requests.
func (w *Window) Add(n int, now time.Time) {
	w.advance(now)
	w.counts[w.last%slots] += n
	w.total += n
}

// Count returns the number of requests within the last Span.
func (w *Window) Count(now time.Time) int {
	w.advance(now)
	return w.total
}
