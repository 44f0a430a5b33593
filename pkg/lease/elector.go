package lease

import (
	"context"
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/retry"
)

const (
	// stepInterval is the time between two steps of the state machine.
	stepInterval = 300 * time.Millisecond
	// storeTimeout bounds a call to the store; it leaves room for two renewals within the validity.
	storeTimeout = 900 * time.Millisecond
	// holderContactTTL is how long after its last answer the holder counts as reachable.
	holderContactTTL = 1500 * time.Millisecond
)

// Elector runs a Machine against the store. It is safe for concurrent use.
type Elector struct {
	store Store
	log   *eventlog.Logger
	now   func() time.Duration

	mu      sync.Mutex
	machine *Machine
	// lastContact is when the holder last answered; it is valid while hasContact is set.
	lastContact time.Duration
	hasContact  bool
	// released is set when the daemon is stopping, so that it does not take the lease again.
	released bool
	wake     chan struct{}
	heir     StateHandover
	// failures counts consecutive failed calls to the store; retryAt is the earliest time of the next call.
	failures int
	retryAt  time.Duration
}

const (
	// initialBackoff is the delay after the first failed call to the store. It doubles with each further failure up to
	// maxBackoff, because calls are billed even when the store rejects them.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 1500 * time.Millisecond
)

// recordStoreCall updates the backoff with the result of a call to the store.
func (k *Elector) recordStoreCall(ok bool) {
	if ok {
		k.failures, k.retryAt = 0, 0
		return
	}
	k.retryAt = k.now() + retry.DoublingDelay(initialBackoff, maxBackoff, k.failures)
	k.failures++
}

// NewElector returns a keeper for the daemon of that name and address; the caller starts it with Run.
func NewElector(store Store, log *eventlog.Logger, name, address string, timing Timing, heir StateHandover) *Elector {
	return &Elector{store: store, log: log, now: Uptime, machine: NewMachine(name, address, timing), wake: make(chan struct{}, 1), heir: heir}
}

// Run acquires and renews the lease until ctx ends.
func (k *Elector) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		k.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-ticker.C:
		}
	}
}

func (k *Elector) step(ctx context.Context) {
	k.mu.Lock()
	now := k.now()
	holderAnswers := k.hasContact && now-k.lastContact < holderContactTTL
	next := k.machine.Next(now, holderAnswers)
	if k.released || now < k.retryAt {
		next = Wait
	}
	k.mu.Unlock()
	switch next {
	case Read:
		k.read(ctx)
	case Write:
		k.write(ctx)
	case Wait:
	}
}

func (k *Elector) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := k.now()
	rec, position, err := k.store.Load(ctx)
	if err != nil {
		k.log.Log(eventlog.LeaseUnreadable, "reason", err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recordStoreCall(err == nil)
	if err != nil {
		return
	}
	wasHeld := k.machine.Held(sent)
	k.machine.ApplyRead(rec, position, sent)
	if wasHeld && !k.machine.Held(sent) {
		k.log.Log(eventlog.LeaseLost, "holder", rec.Holder, "token", rec.Token)
	}
}

func (k *Elector) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.mu.Lock()
	rec, at, wasHeld := k.machine.Proposal(), k.machine.Position(), k.machine.held
	rec.HandoverState = k.machine.Holder().HandoverState
	sent := k.now()
	k.mu.Unlock()
	if wasHeld {
		rec.HandoverState = k.heir.ExportState()
	}
	position, err := k.store.Swap(ctx, at, rec)
	if err == nil && !wasHeld {
		// The state is imported before the lease shows as held, so that no caller sees a holder without it.
		k.heir.ImportState(rec.HandoverState)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.machine.ApplyWriteFailure(sent)
		k.recordStoreCall(failure.HasCode(err, failure.PublishConflict))
		if !failure.HasCode(err, failure.PublishConflict) {
			k.log.Log(eventlog.LeaseUnwritten, "token", rec.Token, "reason", err)
		}
		return
	}
	k.recordStoreCall(true)
	k.machine.ApplyWrite(rec, position, sent)
	if !wasHeld {
		k.log.Log(eventlog.LeaseTaken, "token", rec.Token, "first_order_in", k.machine.ordersFrom-sent)
	}
}

// Release releases the lease before a planned stop, so that the next holder need not wait for it to expire.
func (k *Elector) Release(ctx context.Context) {
	k.mu.Lock()
	held := k.machine.Held(k.now())
	k.released = true
	at, rec := k.machine.Position(), Record{Token: k.machine.Holder().Token}
	k.machine.ApplyRelease()
	k.mu.Unlock()
	if !held {
		return
	}
	rec.HandoverState = k.heir.ExportState()
	if _, err := k.store.Swap(ctx, at, rec); err != nil {
		k.log.Log(eventlog.LeaseUnwritten, "token", rec.Token, "reason", err)
		return
	}
	k.log.Log(eventlog.LeaseReleased, "token", rec.Token)
}

// Followed records that the holder answered, with the store position of its latest renewal.
func (k *Elector) Followed(position int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastContact, k.hasContact = k.now(), true
	k.machine.ApplyHolderContact(position, k.lastContact)
}

// Position returns the position of the latest known record of the lease.
func (k *Elector) Position() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Position()
}

// Lost records that the presumed holder did not answer or denied holding the lease, and starts the next step at once.
func (k *Elector) Lost() {
	k.mu.Lock()
	k.hasContact = false
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Refused records that a runner rejected an order because it has seen a higher token.
func (k *Elector) Refused(token int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.machine.ApplyFenced(token)
}

// Token returns the fencing token, and whether this daemon may send orders now.
func (k *Elector) Token() (int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Token(k.now())
}

// Tenure returns the fencing token of this daemon's tenure, even before it may send orders; 0 while it does not hold
// the lease.
func (k *Elector) Tenure() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.machine.Held(k.now()) {
		return 0
	}
	return k.machine.Holder().Token
}

// Settled reports whether no other daemon can be acting as holder.
func (k *Elector) Settled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.IsSoleHolder(k.now())
}

// Held reports whether this daemon holds the lease.
func (k *Elector) Held() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Held(k.now())
}

// Holder returns the last known holder.
func (k *Elector) Holder() Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Holder()
}
