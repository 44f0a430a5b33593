package idempotency

import (
	"context"
	"sync"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/stream"
)

const (
	// readInterval is the time between reads while a record is awaited.
	readInterval = 25 * time.Millisecond
	// idleWait is the longest sleep of the timer goroutine.
	idleWait = time.Second
	// startWait is the time for which requests wait for a keeper that has just started to reach the log's end. A read of
	// the key stream takes far less while the log is up.
	startWait = time.Second
	// defaultAppendTimeout bounds one append with its searches.
	defaultAppendTimeout = 5 * time.Second
)

// KeeperConfig holds the parts of a keeper. All but the durations are required.
type KeeperConfig struct {
	Claims   ClaimsConfig
	Fold     *Fold
	Follower *stream.Follower
	Writer   *stream.Writer
	Clock    clock.Clock
	// PollInterval is the time between reads while nothing is awaited.
	PollInterval time.Duration
	// AppendTimeout bounds one append with its searches.
	AppendTimeout time.Duration
}

// Keeper runs the claim protocol of one agent for one service. It is safe for concurrent use.
type Keeper struct {
	cfg KeeperConfig

	mu      sync.Mutex
	claims  *Claims
	waiters map[uint64]chan Verdict
	lastID  uint64

	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
	timer   chan struct{}
	read    chan struct{}
	// ready is closed once the log's end was reached.
	ready chan struct{}
}

// NewKeeper returns a keeper that refuses requests until it has reached the log's end after Start.
func NewKeeper(cfg KeeperConfig) *Keeper {
	if cfg.PollInterval == 0 {
		cfg.PollInterval = stream.DefaultPollInterval
	}
	if cfg.AppendTimeout == 0 {
		cfg.AppendTimeout = defaultAppendTimeout
	}
	if cfg.Claims.WaitDone == 0 {
		cfg.Claims.WaitDone = DefaultWaitDone
	}
	k := &Keeper{cfg: cfg, claims: NewClaims(cfg.Claims, cfg.Fold), waiters: map[uint64]chan Verdict{},
		timer: make(chan struct{}, 1), read: make(chan struct{}, 1), ready: make(chan struct{})}
	k.ctx, k.stop = context.WithCancel(context.Background())
	return k
}

// Start begins to follow the key stream.
func (k *Keeper) Start() {
	k.running.Go(k.readLoop)
	k.running.Go(k.timerLoop)
}

// Close ends the keeper and waits for its goroutines. Results that are not stored are lost, which leaves their keys
// unresolved; Drained tells when none is left.
func (k *Keeper) Close() {
	// The lock orders the end of the context before or after the start of an append, never during it.
	k.mu.Lock()
	k.stop()
	k.mu.Unlock()
	k.running.Wait()
}

// Drained reports whether no request and no unstored result is left.
func (k *Keeper) Drained() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.claims.idle()
}

// SetRunners adapts the rate of appends to the number of runners of the service.
func (k *Keeper) SetRunners(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.claims.SetInterval(Interval(n))
}

// Acquire asks for the right to run the request of a key and waits for the verdict. The grant is permission to run
// or a stored result. It fails with code KeyMismatch (NotRun), KeyInProgress (Unknown) or LogUnavailable (NotRun).
func (k *Keeper) Acquire(ctx context.Context, key string, hash uint64) (*Grant, error) {
	k.awaitStart(ctx)
	id, verdict := k.submit(key, hash)
	select {
	case v := <-verdict:
		return k.grant(id, v)
	case <-ctx.Done():
		return nil, k.give(id, verdict, ctx.Err())
	case <-k.ctx.Done():
		return nil, failure.New(failure.LogUnavailable, failure.NotRun, "the agent is stopping")
	}
}

// awaitStart waits a short time for the first read of the whole stream, so that an agent that was just replaced does not
// refuse what it can serve a moment later.
func (k *Keeper) awaitStart(ctx context.Context) {
	select {
	case <-k.ready:
		return
	default:
	}
	select {
	case <-k.ready:
	case <-k.cfg.Clock.After(startWait):
	case <-ctx.Done():
	case <-k.ctx.Done():
	}
}

func (k *Keeper) submit(key string, hash uint64) (uint64, chan Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastID++
	verdict := make(chan Verdict, 1)
	k.waiters[k.lastID] = verdict
	k.do(k.claims.Acquire(k.cfg.Clock.Now(), k.lastID, key, hash))
	return k.lastID, verdict
}

// give ends a request whose caller is gone. A verdict that has arrived meanwhile is abandoned; whether another
// claim runs the request is not known.
func (k *Keeper) give(id uint64, verdict chan Verdict, cause error) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiters, id)
	now := k.cfg.Clock.Now()
	select {
	case v := <-verdict:
		if v.Run {
			k.do(k.claims.Abandon(now, id))
		}
	default:
		k.do(k.claims.Cancel(now, id))
	}
	return failure.Wrap(failure.KeyInProgress, failure.Unknown, "the caller stopped waiting", cause)
}

func (k *Keeper) grant(id uint64, v Verdict) (*Grant, error) {
	if v.Failure != nil {
		return nil, v.Failure
	}
	return &Grant{keeper: k, id: id, replay: v.Replay, startBefore: v.StartBefore}, nil
}

// do carries actions out; the caller holds the lock.
func (k *Keeper) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Reply:
			if w, ok := k.waiters[a.ID]; ok {
				delete(k.waiters, a.ID)
				w <- a.Verdict
			}
		case Append:
			k.send(func(ctx context.Context) (uint64, error) {
				return k.cfg.Writer.Append(ctx, &ferrypb.Envelope{Payload: &ferrypb.Envelope_Keys{Keys: a.Batch}})
			})
		case Resolve:
			k.send(k.cfg.Writer.Resolve)
		}
	}
	wake(k.timer)
}

// send runs one append beside the lock. After the end of the keeper nothing is sent.
func (k *Keeper) send(call func(context.Context) (uint64, error)) {
	if k.ctx.Err() != nil {
		return
	}
	k.running.Go(func() {
		ctx, cancel := context.WithTimeout(k.ctx, k.cfg.AppendTimeout)
		defer cancel()
		offset, err := call(ctx)
		k.event(func(now time.Time) []Action { return k.claims.Appended(now, offset, err) })
		wake(k.read)
	})
}

// event gives one event to the state machine.
func (k *Keeper) event(e func(now time.Time) []Action) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.do(e(k.cfg.Clock.Now()))
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
