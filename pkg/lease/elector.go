package lease

import (
	"context"
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/retry"
)

const (
	// stepInterval is the time between two steps of the state machine.
	stepInterval = 300 * time.Millisecond
	// storeTimeout bounds a call to the store; it leaves room for two renewals within the validity.
	storeTimeout = 900 * time.Millisecond
	// maxAwait bounds the wait for the next record, so that a connection that has gone silent is noticed.
	maxAwait = time.Second
	// holderContactTTL is how long after its last response the holder counts as reachable.
	holderContactTTL = 1500 * time.Millisecond
)

// Elector runs a Machine against the store. It is safe for concurrent use.
type Elector struct {
	store Store
	log   *eventlog.Logger
	now   func() time.Duration
	name  string
	// cores is the processor capacity of the host; 0 if unknown.
	cores float64

	mu      sync.Mutex
	machine *Machine
	// lastContact is when the holder last responded; it is valid while hasContact is set.
	lastContact time.Duration
	hasContact  bool
	wake        chan struct{}
	handover    StateHandover
	// daemons is the number of daemons that may take the lease; 0 if unknown.
	daemons int
	// failures counts consecutive failed calls to the store; retryAt is the earliest time of the next call.
	failures int
	retryAt  time.Duration
	// observed is the last state that was passed to ObserveState.
	observed string
}

const (
	// initialBackoff is the delay after the first failed call to the store. It doubles with each further failure up to
	// maxBackoff, because calls are billed even when the store rejects them.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 1500 * time.Millisecond
)

// recordStoreCall updates the backoff with the result of a call to the store. A call that the store has served, with
// content that cannot be used, is repeated after the first delay and does not lengthen the next ones.
func (e *Elector) recordStoreCall(err error) {
	switch {
	case err == nil || failure.HasCode(err, failure.PublishConflict):
		e.failures, e.retryAt = 0, 0
	case failure.From(err).Outcome == failure.Ran:
		e.failures, e.retryAt = 0, e.now()+initialBackoff
	default:
		e.retryAt = e.now() + retry.DoublingDelay(initialBackoff, maxBackoff, e.failures)
		e.failures++
	}
}

// NewElector returns an elector for the daemon of that name and address on a host with that many cores (0 if unknown);
// the caller starts it with Run.
func NewElector(store Store, log *eventlog.Logger, name, address string, cores float64, timing Timing, handover StateHandover) *Elector {
	return &Elector{cores: cores, store: store, log: log, now: clock.Uptime, name: name,
		machine: NewMachine(name, address, timing), wake: make(chan struct{}, 1), handover: handover}
}

// SetDaemons sets the number of daemons that may take the lease, 0 if it is unknown.
func (e *Elector) SetDaemons(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.daemons = n
}

// Run acquires and renews the lease until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		for next := e.step(ctx); next == Read || next == Await; next = e.step(ctx) {
			// The step after a read or a wait is due at once: at the next tick another daemon may have taken the lease.
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		case <-ticker.C:
		}
	}
}

// step executes the next step and returns it.
func (e *Elector) step(ctx context.Context) Step {
	e.mu.Lock()
	now := e.now()
	e.machine.SetTakeoverDelay(takeoverDelay(e.daemons, e.cores, e.name, e.machine.Position()))
	holderResponsive := e.hasContact && now-e.lastContact < holderContactTTL
	next := e.machine.Next(now, holderResponsive)
	if now < e.retryAt {
		next = Wait
	}
	position, awaitTime := e.machine.Position(), e.machine.AwaitTime(now)
	e.mu.Unlock()
	switch next {
	case Read:
		e.read(ctx)
	case Await:
		e.await(ctx, position, min(awaitTime, maxAwait))
	case Write:
		e.write(ctx)
	case Wait:
	}
	return next
}

// await waits for the next record: a renewal, or the first record of the next holder. One call replaces a read in every
// step, because all daemons do this at the same time when the holder is lost.
func (e *Elector) await(ctx context.Context, position int64, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	rec, next, found, err := e.store.Await(ctx, position, wait)
	received := e.now()
	if err != nil {
		e.log.Log(eventlog.LeaseUnreadable, "reason", err)
	}
	if err == nil && found {
		e.observe(rec)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordStoreCall(err)
	if err != nil || !found {
		return
	}
	if rec.Token != e.machine.Holder().Token {
		// The new holder gets time to respond to the next report before its record is awaited.
		e.lastContact, e.hasContact = received, true
	}
	e.machine.ApplyRead(rec, next, received)
}

func (e *Elector) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := e.now()
	rec, position, err := e.store.Load(ctx)
	received := e.now()
	if err != nil {
		e.log.Log(eventlog.LeaseUnreadable, "reason", err)
	} else {
		e.observe(rec)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordStoreCall(err)
	if err != nil {
		return
	}
	wasHeld := e.machine.Held(sent)
	e.machine.ApplyRead(rec, position, received)
	if rec.Restored && (rec.Token != 0 || wasHeld) {
		e.log.Log(eventlog.LeaseRestored, "holder", rec.Holder, "token", rec.Token, "position", position, "held", e.machine.Held(received))
	}
	if wasHeld && !e.machine.Held(received) {
		e.log.Log(eventlog.LeaseLost, "holder", rec.Holder, "token", rec.Token)
	}
}

// RecordStoreRestored records that the store was restored from an earlier copy. A holder reads the record at once, so that
// it writes its own again before another daemon takes the lease.
func (e *Elector) RecordStoreRestored() {
	e.mu.Lock()
	e.machine.ApplyStoreRestored()
	e.failures, e.retryAt = 0, 0
	e.mu.Unlock()
	e.notify()
}

// notify starts the next step at once.
func (e *Elector) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// observe passes on the state of a holder that has not been seen before.
func (e *Elector) observe(rec Record) {
	if rec.Holder == e.name || rec.HandoverState == e.observed {
		return
	}
	e.observed = rec.HandoverState
	e.handover.ObserveState(rec.HandoverState)
}

func (e *Elector) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e.mu.Lock()
	rec, at, wasHeld := e.machine.Proposal(), e.machine.Position(), e.machine.held
	rec.HandoverState = e.machine.Holder().HandoverState
	sent := e.now()
	e.mu.Unlock()
	if wasHeld {
		rec.HandoverState = e.handover.ExportState()
	}
	position, err := e.store.Swap(ctx, at, rec)
	if err == nil && !wasHeld {
		// The state is imported before the lease shows as held, so that no caller sees a holder without it.
		e.handover.ImportState(rec.HandoverState)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.machine.ApplyWriteFailure(sent)
		e.recordStoreCall(err)
		if !failure.HasCode(err, failure.PublishConflict) {
			e.log.Log(eventlog.LeaseNotWritten, "token", rec.Token, "reason", err)
		}
		return
	}
	e.recordStoreCall(nil)
	e.machine.ApplyWrite(rec, position, sent)
	if !wasHeld && e.machine.held {
		e.log.Log(eventlog.LeaseTaken, "token", rec.Token, "first_order_in", e.machine.ordersFrom-sent)
	}
}

// Release releases the lease before a planned stop, so that the next holder need not wait for it to expire.
func (e *Elector) Release(ctx context.Context) {
	e.mu.Lock()
	now := e.now()
	held, at := e.machine.Held(now), e.machine.Position()
	rec := e.machine.Release(now)
	e.mu.Unlock()
	if !held {
		return
	}
	rec.HandoverState = e.handover.ExportState()
	if _, err := e.store.Swap(ctx, at, rec); err != nil {
		e.log.Log(eventlog.LeaseNotWritten, "token", rec.Token, "reason", err)
		return
	}
	e.log.Log(eventlog.LeaseReleased, "token", rec.Token)
}

// RecordHolderContact records that the holder responded, with the store position of its latest renewal.
func (e *Elector) RecordHolderContact(position int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastContact, e.hasContact = e.now(), true
	e.machine.ApplyHolderContact(position, e.lastContact)
}

// Position returns the position of the latest known record of the lease.
func (e *Elector) Position() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Position()
}

// RecordHolderLost records that the presumed holder did not respond or denied holding the lease, and starts the next
// step at once.
func (e *Elector) RecordHolderLost() {
	e.mu.Lock()
	if e.hasContact {
		e.machine.ApplyHolderLost(e.now())
	}
	e.hasContact = false
	e.mu.Unlock()
	e.notify()
}

// RecordFenced records that a runner rejected an order because it has seen a higher token.
func (e *Elector) RecordFenced(token int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.ApplyFenced(token)
}

// Token returns the fencing token, and whether this daemon may send orders now.
func (e *Elector) Token() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Token(e.now())
}

// Tenure returns the fencing token of this daemon's tenure, even before it may send orders; 0 while it does not hold
// the lease.
func (e *Elector) Tenure() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.machine.Held(e.now()) {
		return 0
	}
	return e.machine.Holder().Token
}

// Daemons returns the number of daemons that may take the lease; 0 if it is unknown.
func (e *Elector) Daemons() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.daemons
}

// ConfirmedAge returns the time since the latest renewal that is known to have taken effect was sent.
func (e *Elector) ConfirmedAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now() - e.machine.ConfirmedAt()
}

// IsSoleHolder reports whether no other daemon can be acting as holder.
func (e *Elector) IsSoleHolder() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.IsSoleHolder(e.now())
}

// Held reports whether this daemon holds the lease.
func (e *Elector) Held() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Held(e.now())
}

// Holder returns the last known holder.
func (e *Elector) Holder() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Holder()
}
