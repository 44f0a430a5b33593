package idempotency

import (
	"sync"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// readLoop follows the key stream. It reads more often while the protocol waits for a record.
func (m *Manager) readLoop() {
	var ready sync.Once
	for {
		// A failed read leaves the state unchanged, and is logged by the follower.
		_, _ = m.cfg.Follower.Poll(m.ctx)
		m.cfg.Writer.ObserveEnd(m.cfg.Follower.Offset() + 1)
		m.handleEvent(func(now time.Time) []Action {
			if m.cfg.Follower.ReachedLogEnd() {
				m.protocol.SetReady()
				ready.Do(func() { close(m.ready) })
			}
			return m.protocol.Tick(now)
		})
		select {
		case <-m.ctx.Done():
			return
		case <-m.readWake:
		case <-m.cfg.Clock.After(m.nextReadDelay()):
		}
	}
}

// nextReadDelay returns the time until the next read of the key stream.
func (m *Manager) nextReadDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.protocol.AwaitingRecord() {
		return activeReadInterval
	}
	return m.cfg.PollInterval
}

// timerLoop calls Tick at the times that the state machine requests.
func (m *Manager) timerLoop() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.timerWake:
		case <-m.cfg.Clock.After(m.nextTimerDelay()):
			m.handleEvent(m.protocol.Tick)
		}
	}
}

// nextTimerDelay returns the time until the next Tick, at most maxTimerSleep.
func (m *Manager) nextTimerDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.protocol.NextWake()
	if next.IsZero() {
		return maxTimerSleep
	}
	return min(maxTimerSleep, max(time.Millisecond, next.Sub(m.cfg.Clock.Now())))
}

// Grant is permission to run a request, or the stored result of that request.
type Grant struct {
	manager     *Manager
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
	return g.replay == nil && g.manager.cfg.Clock.Now().Before(g.startBefore)
}

// Finish queues the result of the request to be stored. It fills in the key and claim id of the record.
func (g *Grant) Finish(d *ferrypb.KeyDone) {
	if g.replay != nil {
		return
	}
	g.manager.handleEvent(func(now time.Time) []Action { return g.manager.protocol.Finish(now, g.id, d) })
}

// Abandon frees the key. It may be called only if the backend server is known not to have received the request.
func (g *Grant) Abandon() {
	if g.replay != nil {
		return
	}
	g.manager.handleEvent(func(now time.Time) []Action { return g.manager.protocol.Abandon(now, g.id) })
}
