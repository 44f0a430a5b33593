package idempotency

import (
	"sync"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// readLoop follows the key stream. It reads more often while the protocol waits for a record.
func (k *Manager) readLoop() {
	var ready sync.Once
	for {
		// A failed read leaves the state unchanged, and is logged by the follower.
		_, _ = k.cfg.Follower.Poll(k.ctx)
		k.cfg.Writer.ObserveEnd(k.cfg.Follower.Offset() + 1)
		k.handleEvent(func(now time.Time) []Action {
			if k.cfg.Follower.ReachedLogEnd() {
				k.claims.SetReady()
				ready.Do(func() { close(k.ready) })
			}
			return k.claims.Tick(now)
		})
		select {
		case <-k.ctx.Done():
			return
		case <-k.readWake:
		case <-k.cfg.Clock.After(k.nextReadDelay()):
		}
	}
}

// nextReadDelay returns the time until the next read of the key stream.
func (k *Manager) nextReadDelay() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.claims.AwaitingRecord() {
		return activeReadInterval
	}
	return k.cfg.PollInterval
}

// timerLoop calls Tick at the times that the state machine requests.
func (k *Manager) timerLoop() {
	for {
		select {
		case <-k.ctx.Done():
			return
		case <-k.timerWake:
		case <-k.cfg.Clock.After(k.nextTimerDelay()):
			k.handleEvent(k.claims.Tick)
		}
	}
}

// nextTimerDelay returns the time until the next Tick, at most maxTimerSleep.
func (k *Manager) nextTimerDelay() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := k.claims.NextWake()
	if next.IsZero() {
		return maxTimerSleep
	}
	return min(maxTimerSleep, max(time.Millisecond, next.Sub(k.cfg.Clock.Now())))
}

// Grant is permission to run a request, or the stored result of that request.
type Grant struct {
	keeper      *Manager
	id          uint64
	replay      *ferrypb.KeyDone
	startBefore time.Time
}

// Replay returns the stored result; nil if the grant is permission to run.
func (g *Grant) Replay() *ferrypb.KeyDone { return g.replay }

// MayStart reports whether the request may be sent to the backend server now. It must be called immediately before the
// request is sent. If it returns false, the caller abandons the grant and fails the request with code LogUnavailable and
// outcome NotRun.
func (g *Grant) MayStart() bool {
	return g.replay == nil && g.keeper.cfg.Clock.Now().Before(g.startBefore)
}

// Finish queues the result of the request to be stored. It fills in the key and claim id of the record.
func (g *Grant) Finish(d *ferrypb.KeyDone) {
	if g.replay != nil {
		return
	}
	g.keeper.handleEvent(func(now time.Time) []Action { return g.keeper.claims.Finish(now, g.id, d) })
}

// Abandon frees the key. It may be called only if the backend server is known not to have received the request.
func (g *Grant) Abandon() {
	if g.replay != nil {
		return
	}
	g.keeper.handleEvent(func(now time.Time) []Action { return g.keeper.claims.Abandon(now, g.id) })
}
