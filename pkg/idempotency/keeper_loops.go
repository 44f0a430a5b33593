package idempotency

import (
	"sync"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// readLoop follows the key stream; it reads more often while a record is awaited.
func (k *Keeper) readLoop() {
	var ready sync.Once
	for {
		// A failed read keeps the state; the follower logs it.
		_, _ = k.cfg.Follower.Poll(k.ctx)
		k.cfg.Writer.Observe(k.cfg.Follower.Offset() + 1)
		k.event(func(now time.Time) []Action {
			if k.cfg.Follower.ReachedLogEnd() {
				k.claims.SetReady()
				ready.Do(func() { close(k.ready) })
			}
			return k.claims.Tick(now)
		})
		select {
		case <-k.ctx.Done():
			return
		case <-k.read:
		case <-k.cfg.Clock.After(k.pause()):
		}
	}
}

func (k *Keeper) pause() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.claims.Reading() {
		return readInterval
	}
	return k.cfg.PollInterval
}

// timerLoop gives the state machine the times that it waits for.
func (k *Keeper) timerLoop() {
	for {
		select {
		case <-k.ctx.Done():
			return
		case <-k.timer:
		case <-k.cfg.Clock.After(k.untilWake()):
			k.event(k.claims.Tick)
		}
	}
}

func (k *Keeper) untilWake() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := k.claims.NextWake()
	if next.IsZero() {
		return idleWait
	}
	return min(idleWait, max(time.Millisecond, next.Sub(k.cfg.Clock.Now())))
}

// Grant is permission to run a request, or its stored result.
type Grant struct {
	keeper      *Keeper
	id          uint64
	replay      *ferrypb.KeyDone
	startBefore time.Time
}

// Replay returns the stored result; nil when the request shall be run.
func (g *Grant) Replay() *ferrypb.KeyDone { return g.replay }

// MayExecute reports whether the request may be sent to the backend server now. It is asked immediately before the
// send; after false the caller abandons the grant and answers LogUnavailable with NotRun.
func (g *Grant) MayExecute() bool {
	return g.replay == nil && g.keeper.cfg.Clock.Now().Before(g.startBefore)
}

// Done stores the result of the request. The key and claim id of the record are filled in.
func (g *Grant) Done(d *ferrypb.KeyDone) {
	if g.replay != nil {
		return
	}
	g.keeper.event(func(now time.Time) []Action { return g.keeper.claims.Finish(now, g.id, d) })
}

// Abandon gives the key up. It is called only with evidence that the backend server never got the request.
func (g *Grant) Abandon() {
	if g.replay != nil {
		return
	}
	g.keeper.event(func(now time.Time) []Action { return g.keeper.claims.Abandon(now, g.id) })
}
