package gateway

import (
	"context"
	"sync"
	"time"
)

// silenceRecheck is when a silent server is looked at again if no other one could take its request over; each further
// look comes after twice the time, because a choice among hundreds of servers takes milliseconds.
const silenceRecheck = 250 * time.Millisecond

// silenceWatch gives an attempt up when its server is silent for longer than expected and another one takes the request
// over. The other one is chosen first: without it the attempt goes on, because a sound server may be silent for a
// while and still complete the response. It is safe for concurrent use.
type silenceWatch struct {
	// takeOver returns the server that takes the request over, nil for none. It is called with mu held, so that an event
	// does not start the timer again while the request is taken over.
	takeOver func(s silence) *choice
	cancel   context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// since is when the server was last heard of, due when it counts as silent.
	since time.Time
	due   time.Time
	// left is the time until due while the watch is paused, 0 while it is not.
	left time.Duration
	// begun is set once the first event has arrived.
	begun bool
	// recheck is the time until the next look at the present silence; 0 before the first look.
	recheck time.Duration
	ended   bool
	next    *choice
}

// silence is a time in which a server sent nothing although more of the response is due.
type silence struct {
	length time.Duration
	// begun is set if the response had begun before.
	begun bool
	// repeated is set at every look at a silence after the first.
	repeated bool
}

// newSilenceWatch starts to watch an attempt whose server has to respond within limit, 0 for no bound.
func newSilenceWatch(limit time.Duration, cancel context.CancelCauseFunc, takeOver func(silence) *choice) *silenceWatch {
	w := &silenceWatch{takeOver: takeOver, cancel: cancel, since: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arm(limit)
	return w
}

// arm starts the timer after which the server counts as silent, 0 for none; the caller holds mu.
func (w *silenceWatch) arm(limit time.Duration) {
	w.left = 0
	if limit <= 0 {
		w.due = time.Time{}
		w.halt()
		return
	}
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
	if w.ended || w.due.IsZero() || time.Now().Before(w.due) {
		return
	}
	w.next = w.takeOver(silence{length: time.Since(w.since), begun: w.begun, repeated: w.recheck > 0})
	if w.next == nil {
		w.recheck = max(silenceRecheck, 2*w.recheck)
		w.arm(w.recheck)
		return
	}
	w.ended = true
	w.cancel(errTakenOver)
}

// expectEvent shortens the wait to at most limit, 0 for no change: the head of a stream has arrived.
func (w *silenceWatch) expectEvent(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && limit > 0 && (w.due.IsZero() || time.Now().Add(limit).Before(w.due)) {
		w.arm(limit)
	}
}

// recordEvent records that an event was passed on. The next one has to arrive within limit, 0 for no bound.
func (w *silenceWatch) recordEvent(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.since, w.begun, w.recheck = time.Now(), true, 0
	w.arm(limit)
}

// pause stops the clock while the caller is written to: a slow caller is no silence of the server.
func (w *silenceWatch) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.due.IsZero() {
		return
	}
	w.left = max(time.Until(w.due), time.Millisecond)
	w.due = time.Time{}
	w.halt()
}

// resume starts the clock again where pause stopped it.
func (w *silenceWatch) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && w.left > 0 {
		w.arm(w.left)
	}
}

// stop ends the watch and returns the server that takes the request over; nil if the attempt was not given up.
func (w *silenceWatch) stop() *choice {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.halt()
	return w.next
}

// halt stops the timer; the caller holds mu.
func (w *silenceWatch) halt() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// unwatched returns a watch that never gives its attempt up.
func unwatched() *silenceWatch { return &silenceWatch{ended: true} }
