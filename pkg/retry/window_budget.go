package retry

import "time"

// windowBuckets is the number of parts of a window that are counted apart.
const windowBuckets = 20

// WindowLimits are the settings of a WindowBudget.
type WindowLimits struct {
	// Ratio is the number of retries permitted for each request in the window.
	Ratio float64
	// Slack is the number of retries permitted per window in addition.
	Slack float64
}

// WindowBudget bounds the retries within a sliding window by the requests within the window that ends at the same time.
// Unlike a token bucket it lets all of them be spent at once, so that a failure that hits many requests within a second
// is met with all retries that the window permits. It reads no clock and is not safe for concurrent use.
type WindowBudget struct {
	bucket time.Duration
	// first is the number of the oldest bucket since the zero time.
	first    int64
	requests [windowBuckets + 1]int
	retries  [windowBuckets + 1]int
}

// NewWindowBudget returns a budget without requests for windows of that length.
func NewWindowBudget(window time.Duration) *WindowBudget {
	return &WindowBudget{bucket: max(window/windowBuckets, time.Millisecond)}
}

// RecordRequest counts one request of a caller.
func (b *WindowBudget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[windowBuckets]++
}

// Take spends one retry and reports whether the limits permit it.
func (b *WindowBudget) Take(limits WindowLimits, now time.Time) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > limits.Ratio*float64(requests)+limits.Slack {
		return false
	}
	b.retries[windowBuckets]++
	return true
}

// advance shifts the buckets so that the newest one holds now. The window is covered by one bucket more than it has, as
// the oldest and the newest are partly outside of it.
func (b *WindowBudget) advance(now time.Time) {
	newest := now.UnixNano() / int64(b.bucket)
	shift := newest - (b.first + windowBuckets)
	if shift <= 0 {
		return
	}
	b.first += shift
	if shift > windowBuckets {
		b.requests, b.retries = [windowBuckets + 1]int{}, [windowBuckets + 1]int{}
		return
	}
	n := int(shift)
	copy(b.requests[:], b.requests[n:])
	copy(b.retries[:], b.retries[n:])
	clear(b.requests[windowBuckets+1-n:])
	clear(b.retries[windowBuckets+1-n:])
}
