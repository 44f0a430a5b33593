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
	// pollPeriod is how often the machine is asked for its next step.
	pollPeriod = 300 * time.Millisecond
	// callTimeout bounds a call to the store; it leaves room for two renewals within the validity.
	callTimeout = 900 * time.Millisecond
	// followedFor is how long an answer of the holder counts as contact.
	followedFor = 1500 * time.Millisecond
)

// Keeper runs a Machine against the store. It is safe for concurrent use.
type Keeper struct {
	store Store
	log   *eventlog.Logger
	now   func() time.Duration

	mu       sync.Mutex
	machine  *Machine
	followed time.Duration
	contact  bool
	// released keeps a stopping daemon from taking the lease again.
	released bool
	wake     chan struct{}
	heir     Heir
	// failures counts failed calls to the store in a row; retryAt is when the next one may be made.
	failures int
	retryAt  time.Duration
}

const (
	// failurePause is the first pause after a failed call; it doubles up to failureLimit, because calls are billed also
	// while the store refuses them.
	failurePause = 300 * time.Millisecond
	failureLimit = 1500 * time.Millisecond
)

// called notes the result of a call to the store.
func (k *Keeper) called(ok bool) {
	if ok {
		k.failures, k.retryAt = 0, 0
		return
	}
	k.retryAt = k.now() + retry.Doubling(failurePause, failureLimit, k.failures)
	k.failures++
}

// NewKeeper returns a keeper that is not running yet.
func NewKeeper(store Store, log *eventlog.Logger, name, address string, timing Timing, heir Heir) *Keeper {
	return &Keeper{store: store, log: log, now: Uptime, machine: NewMachine(name, address, timing), wake: make(chan struct{}, 1), heir: heir}
}

// Run keeps the lease until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(pollPeriod)
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

func (k *Keeper) step(ctx context.Context) {
	k.mu.Lock()
	now := k.now()
	followed := k.contact && now-k.followed < followedFor
	next := k.machine.Next(now, followed)
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

func (k *Keeper) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := k.now()
	rec, position, err := k.store.Load(ctx)
	if err != nil {
		k.log.Log(eventlog.LeaseUnreadable, "reason", err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.called(err == nil)
	if err != nil {
		return
	}
	before := k.machine.Held(sent)
	k.machine.Observed(rec, position, sent)
	if before && !k.machine.Held(sent) {
		k.log.Log(eventlog.LeaseLost, "holder", rec.Holder, "token", rec.Token)
	}
}

func (k *Keeper) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.mu.Lock()
	rec, at, before := k.machine.Proposal(), k.machine.Position(), k.machine.held
	rec.Carry = k.machine.Holder().Carry
	sent := k.now()
	k.mu.Unlock()
	if before {
		rec.Carry = k.heir.Carry()
	}
	position, err := k.store.Swap(ctx, at, rec)
	if err == nil && !before {
		// The state is taken over before anybody sees that the lease is held.
		k.heir.Inherit(rec.Carry)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.machine.WriteFailed(sent)
		k.called(failure.HasCode(err, failure.PublishConflict))
		if !failure.HasCode(err, failure.PublishConflict) {
			k.log.Log(eventlog.LeaseUnwritten, "token", rec.Token, "reason", err)
		}
		return
	}
	k.called(true)
	k.machine.Written(rec, position, sent)
	if !before {
		k.log.Log(eventlog.LeaseTaken, "token", rec.Token, "first_order_in", k.machine.activeFrom-sent)
	}
}

// Release gives the lease up before a planned stop, so that the next holder need not wait for its end.
func (k *Keeper) Release(ctx context.Context) {
	k.mu.Lock()
	held := k.machine.Held(k.now())
	k.released = true
	at, rec := k.machine.Position(), Record{Token: k.machine.Holder().Token}
	k.machine.Released()
	k.mu.Unlock()
	if !held {
		return
	}
	rec.Carry = k.heir.Carry()
	if _, err := k.store.Swap(ctx, at, rec); err != nil {
		k.log.Log(eventlog.LeaseUnwritten, "token", rec.Token, "reason", err)
		return
	}
	k.log.Log(eventlog.LeaseReleased, "token", rec.Token)
}

// Followed records an answer of the holder with the position of its newest renewal.
func (k *Keeper) Followed(position int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.followed, k.contact = k.now(), true
	k.machine.Followed(position, k.followed)
}

// Position returns the position of the newest record of the lease that is known.
func (k *Keeper) Position() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Position()
}

// Lost records that the presumed holder did not answer or denied holding the lease.
func (k *Keeper) Lost() {
	k.mu.Lock()
	k.contact = false
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Refused records that an order was refused because of a higher token.
func (k *Keeper) Refused(token int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.machine.Refused(token)
}

// Token returns the fencing number if this daemon may give orders now.
func (k *Keeper) Token() (int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Token(k.now())
}

// Tenure returns the fencing number of this daemon's tenure, also before orders may be given; 0 while it does not hold
// the lease.
func (k *Keeper) Tenure() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.machine.Held(k.now()) {
		return 0
	}
	return k.machine.Holder().Token
}

// Settled reports whether no other daemon can be acting as holder.
func (k *Keeper) Settled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Settled(k.now())
}

// Held reports whether this daemon holds the lease.
func (k *Keeper) Held() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Held(k.now())
}

// Holder returns the last known holder.
func (k *Keeper) Holder() Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Holder()
}
