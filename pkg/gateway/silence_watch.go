package gateway

import (
	"context"
	"sync"
	"time"
)

// silenceRecheck is how often a silent server is looked at again while no other one can take its request over.
const silenceRecheck = 250 * time.Millisecond

// silenceWatch gives an attempt up when its server is silent for longer than expected and another one takes the request
// over. The other one is chosen first: without it the attempt goes on, because a sound server may be silent for a
// while and still complete the response. It is safe for concurrent use.
type silenceWatch struct {
	// takeOver returns the server that takes the request over, nil for none. It is called with mu held.
	takeOver func(s silence) *choice
	cancel   context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// since is when the server was last heard of, due when it counts as silent.
	since time.Time
	due   time.Time
	// begun is set once the first event has arrived, noticed once takeOver was called for the present silence.
	begun   bool
	noticed bool
	ended   bool
	next    *choice
}

// silence is a time in which a server sent nothing although more of the response is due.
type silence struct {
	length time.Duration
	// begun is set if the response had begun before.
	begun bool
	// repeated is set if no server could take the request over when the same silence was looked at before.
	repeated bool
}

// newSilenceWatch starts to watch an attempt whose server has to respond within limit.
func newSilenceWatch(limit time.Duration, cancel context.CancelCauseFunc, takeOver func(silence) *choice) *silenceWatch {
	w := &silenceWatch{takeOver: takeOver, cancel: cancel, since: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arm(limit)
	return w
}

// arm makes the server silent after limit; the caller holds mu.
func (w *silenceWatch) arm(limit time.Duration) {
	w.due = time.Now().Add(limit)
	if w.timer == nil {
		w.timer = time.AfterFunc(limit, w.check)
		return
	}
	w.timer.Reset(limit)
}

// check gives the attempt up if the server is silent and another one takes the request over.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || time.Now().Before(w.due) {
		return
	}
	w.next = w.takeOver(silence{length: time.Since(w.since), begun: w.begun, repeated: w.noticed})
	w.noticed = true
	if w.next == nil {
		w.arm(silenceRecheck)
		return
	}
	w.ended = true
	w.cancel(errStalled)
}

// expectEvent makes the server silent after limit at the latest, 0 for no change: the head of a stream has arrived.
func (w *silenceWatch) expectEvent(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && limit > 0 && time.Now().Add(limit).Before(w.due) {
		w.arm(limit)
	}
}

// recordEvent records that an event has arrived. The next one has to arrive within limit, 0 for no bound.
func (w *silenceWatch) recordEvent(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.since, w.begun, w.noticed = time.Now(), true, false
	if limit <= 0 {
		w.end()
		return
	}
	w.arm(limit)
}

// stop ends the watch and returns the server that takes the request over; nil if the attempt was not given up.
func (w *silenceWatch) stop() *choice {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end()
	return w.next
}

// end stops the timer; the caller holds mu.
func (w *silenceWatch) end() {
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// unwatched returns a watch that never gives its attempt up.
func unwatched() *silenceWatch { return &silenceWatch{ended: true} }
