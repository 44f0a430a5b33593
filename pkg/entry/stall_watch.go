package entry

import (
	"sync"
	"sync/atomic"
	"time"
)

// stallWatch gives up an attempt whose runner is silent for too long, if another attempt is permitted. Otherwise the
// attempt goes on, because a silent runner may still respond, and the permission is asked for again after the same time.
type stallWatch struct {
	limit time.Duration
	// permit chooses and pays for another attempt. It returns false if none is permitted, or if superseded reports that
	// a frame has arrived in the meantime.
	permit func(superseded func() bool) bool
	giveUp func()
	// frames counts the frames that have arrived.
	frames atomic.Uint64

	mu      sync.Mutex
	timer   *time.Timer
	waiting bool
	since   time.Time
}

// start begins to wait for the first frame.
func (w *stallWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.limit, w.expire)
	w.waiting = true
	w.since = time.Now()
}

// expire decides after a silence. The state of the request does not change in the meantime, because the attempt waits
// in stop before it uses a frame.
func (w *stallWatch) expire() {
	frames := w.frames.Load()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.waiting || time.Since(w.since) < w.limit {
		return
	}
	if w.permit(func() bool { return w.frames.Load() != frames }) {
		w.waiting = false
		w.giveUp()
		return
	}
	w.since = time.Now()
	w.timer.Reset(w.limit)
}

// stop ends the wait for a frame.
func (w *stallWatch) stop() {
	w.frames.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
	w.timer.Stop()
}

// resume begins to wait for the next frame.
func (w *stallWatch) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = true
	w.since = time.Now()
	w.timer.Reset(w.limit)
}
