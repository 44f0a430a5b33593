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
	// activeReadInterval is the time between reads of the key stream while the protocol waits for a record.
	activeReadInterval = 25 * time.Millisecond
	// maxTimerSleep is the longest sleep of timerLoop.
	maxTimerSleep = time.Second
	// startupWait is the time for which requests wait until a keeper that was just started has reached the end of the log.
	// While the log is available, reading the key stream takes far less.
	startupWait = time.Second
	// defaultAppendTimeout is the default of KeeperConfig.AppendTimeout.
	defaultAppendTimeout = 5 * time.Second
)

// ManagerConfig holds the dependencies and settings of a keeper. Durations that are 0 get a default; the other fields are
// required.
type ManagerConfig struct {
	Protocol ProtocolConfig
	Fold     *Fold
	Follower *stream.Follower
	Writer   *stream.Writer
	Clock    clock.Clock
	// PollInterval is the time between reads of the key stream while the protocol waits for no record.
	PollInterval time.Duration
	// AppendTimeout bounds one append, including the reads that check whether it was stored.
	AppendTimeout time.Duration
}

// Manager runs the claim protocol for one agent and one service. It is safe for concurrent use.
type Manager struct {
	cfg ManagerConfig

	mu     sync.Mutex
	claims *ClaimProtocol
	// waiters holds the channels of requests without a verdict, by request id.
	waiters map[uint64]chan Verdict
	lastID  uint64

	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	timerWake  chan struct{}
	readWake   chan struct{}
	// ready is closed once the end of the log was reached.
	ready chan struct{}
}

// NewManager returns a keeper. It refuses requests until Start was called and the end of the log was reached.
func NewManager(cfg ManagerConfig) *Manager {
	if cfg.PollInterval == 0 {
		cfg.PollInterval = stream.DefaultPollInterval
	}
	if cfg.AppendTimeout == 0 {
		cfg.AppendTimeout = defaultAppendTimeout
	}
	if cfg.Protocol.ResultWait == 0 {
		cfg.Protocol.ResultWait = DefaultResultWait
	}
	k := &Manager{cfg: cfg, claims: NewClaimProtocol(cfg.Protocol, cfg.Fold), waiters: map[uint64]chan Verdict{},
		timerWake: make(chan struct{}, 1), readWake: make(chan struct{}, 1), ready: make(chan struct{})}
	k.ctx, k.stop = context.WithCancel(context.Background())
	return k
}

// Start starts to follow the key stream. Close ends it.
func (k *Manager) Start() {
	k.goroutines.Go(k.readLoop)
	k.goroutines.Go(k.timerLoop)
}

// Close stops the keeper and waits for its goroutines. Results that are not stored yet are lost, which leaves their keys
// unresolved; Drained reports whether none are left.
func (k *Manager) Close() {
	// The lock ensures that the context is not cancelled while an append is being started.
	k.mu.Lock()
	k.stop()
	k.mu.Unlock()
	k.goroutines.Wait()
}

// Drained reports whether there are no requests, unstored results or appends.
func (k *Manager) Drained() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.claims.idle()
}

// SetRunnerCount adjusts the interval of appends to the number of runners of the service.
func (k *Manager) SetRunnerCount(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.claims.SetAppendInterval(AppendInterval(n))
}

// Acquire claims a key for the request with the hash and waits for the verdict. The grant is permission to run the request
// or its stored result. Acquire fails with code KeyMismatch (outcome NotRun), KeyInProgress (Unknown) or LogUnavailable
// (NotRun).
func (k *Manager) Acquire(ctx context.Context, key string, hash uint64) (*Grant, error) {
	k.awaitReady(ctx)
	id, verdict := k.submit(key, hash)
	select {
	case v := <-verdict:
		return k.grant(id, v)
	case <-ctx.Done():
		return nil, k.cancelWaiting(id, verdict, ctx.Err())
	case <-k.ctx.Done():
		return nil, failure.New(failure.LogUnavailable, failure.NotRun, "the agent is stopping")
	}
}

// awaitReady waits up to startupWait for the end of the log to be reached, so that an agent that has just been replaced
// does not refuse requests that it could serve shortly afterwards.
func (k *Manager) awaitReady(ctx context.Context) {
	select {
	case <-k.ready:
		return
	default:
	}
	select {
	case <-k.ready:
	case <-k.cfg.Clock.After(startupWait):
	case <-ctx.Done():
	case <-k.ctx.Done():
	}
}

// submit starts a request and returns its id and the channel that receives its verdict.
func (k *Manager) submit(key string, hash uint64) (uint64, chan Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastID++
	verdict := make(chan Verdict, 1)
	k.waiters[k.lastID] = verdict
	k.perform(k.claims.Acquire(k.cfg.Clock.Now(), k.lastID, key, hash))
	return k.lastID, verdict
}

// cancelWaiting ends a request whose caller no longer waits. Permission to run that was granted in the meantime is
// abandoned. The outcome is Unknown, because another claim may run the request.
func (k *Manager) cancelWaiting(id uint64, verdict chan Verdict, cause error) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiters, id)
	now := k.cfg.Clock.Now()
	select {
	case v := <-verdict:
		if v.Run {
			k.perform(k.claims.Abandon(now, id))
		}
	default:
		k.perform(k.claims.Cancel(now, id))
	}
	return failure.Wrap(failure.KeyInProgress, failure.Unknown, "the caller stopped waiting for the idempotency key", cause)
}

func (k *Manager) grant(id uint64, v Verdict) (*Grant, error) {
	if v.Failure != nil {
		return nil, v.Failure
	}
	return &Grant{keeper: k, id: id, replay: v.Replay, startBefore: v.StartBefore}, nil
}

// perform carries out actions. The caller holds the lock.
func (k *Manager) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Reply:
			if w, ok := k.waiters[a.ID]; ok {
				delete(k.waiters, a.ID)
				w <- a.Verdict
			}
		case Append:
			k.startAppend(func(ctx context.Context) (uint64, error) {
				return k.cfg.Writer.Append(ctx, &ferrypb.Envelope{Payload: &ferrypb.Envelope_Keys{Keys: a.Batch}})
			})
		case Resolve:
			k.startAppend(k.cfg.Writer.Resolve)
		}
	}
	wake(k.timerWake)
}

// startAppend runs call on a goroutine of its own, without the lock, and passes on its result. It does nothing once the
// keeper is closed.
func (k *Manager) startAppend(call func(context.Context) (uint64, error)) {
	if k.ctx.Err() != nil {
		return
	}
	k.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(k.ctx, k.cfg.AppendTimeout)
		defer cancel()
		offset, err := call(ctx)
		k.handleEvent(func(now time.Time) []Action { return k.claims.HandleAppendResult(now, offset, err) })
		wake(k.readWake)
	})
}

// handleEvent passes an event to the state machine and performs the resulting actions.
func (k *Manager) handleEvent(e func(now time.Time) []Action) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.perform(e(k.cfg.Clock.Now()))
}

// wake sends a signal to a channel with capacity 1, unless one is pending.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
