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
	// startupWait is the time for which requests wait until a manager that was just started has reached the end of the
	// log. While the log is available, reading the key stream takes far less.
	startupWait = time.Second
	// defaultAppendTimeout is the default of ManagerConfig.AppendTimeout.
	defaultAppendTimeout = 5 * time.Second
)

// ManagerConfig holds the dependencies and settings of a manager. Durations that are 0 get a default; the other fields
// are required.
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

	mu       sync.Mutex
	protocol *ClaimProtocol
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

// NewManager returns a manager. It refuses requests until Start was called and the end of the log was reached.
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
	m := &Manager{cfg: cfg, protocol: NewClaimProtocol(cfg.Protocol, cfg.Fold), waiters: map[uint64]chan Verdict{},
		timerWake: make(chan struct{}, 1), readWake: make(chan struct{}, 1), ready: make(chan struct{})}
	m.ctx, m.stop = context.WithCancel(context.Background())
	return m
}

// Start starts to follow the key stream. Close ends it.
func (m *Manager) Start() {
	m.goroutines.Go(m.readLoop)
	m.goroutines.Go(m.timerLoop)
}

// Close stops the manager and waits for its goroutines. Results that are not stored yet are lost, which leaves their keys
// unresolved; Drained reports whether none are left.
func (m *Manager) Close() {
	// The lock ensures that the context is not cancelled while an append is being started.
	m.mu.Lock()
	m.stop()
	m.mu.Unlock()
	m.goroutines.Wait()
}

// Drained reports whether there are no requests, unstored results or appends.
func (m *Manager) Drained() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.protocol.idle()
}

// SetRunnerCount adjusts the interval of appends to the number of runners of the service.
func (m *Manager) SetRunnerCount(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.protocol.SetAppendInterval(AppendInterval(n))
}

// Acquire claims a key for the request with the hash and waits for the verdict. The grant is permission to run the
// request or its stored result. Acquire fails with code KeyMismatch (outcome NotRun), KeyInProgress (Unknown) or
// LogUnavailable (NotRun).
func (m *Manager) Acquire(ctx context.Context, key string, hash uint64) (*Grant, error) {
	m.awaitReady(ctx)
	id, verdict := m.submit(key, hash)
	select {
	case v := <-verdict:
		return m.grant(id, v)
	case <-ctx.Done():
		return nil, m.cancelWaiting(id, verdict, ctx.Err())
	case <-m.ctx.Done():
		return nil, failure.New(failure.LogUnavailable, failure.NotRun, "the agent is stopping")
	}
}

// awaitReady waits up to startupWait for the end of the log to be reached, so that an agent that has just been replaced
// does not refuse requests that it could serve shortly afterwards.
func (m *Manager) awaitReady(ctx context.Context) {
	select {
	case <-m.ready:
		return
	default:
	}
	select {
	case <-m.ready:
	case <-m.cfg.Clock.After(startupWait):
	case <-ctx.Done():
	case <-m.ctx.Done():
	}
}

// submit starts a request and returns its id and the channel that receives its verdict.
func (m *Manager) submit(key string, hash uint64) (uint64, chan Verdict) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++
	verdict := make(chan Verdict, 1)
	m.waiters[m.lastID] = verdict
	m.perform(m.protocol.Acquire(m.cfg.Clock.Now(), m.lastID, key, hash))
	return m.lastID, verdict
}

// cancelWaiting ends a request whose caller no longer waits. Permission to run that was granted in the meantime is
// abandoned. The outcome is Unknown, because another claim may run the request.
func (m *Manager) cancelWaiting(id uint64, verdict chan Verdict, cause error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiters, id)
	now := m.cfg.Clock.Now()
	select {
	case v := <-verdict:
		if v.Run {
			m.perform(m.protocol.Abandon(now, id))
		}
	default:
		m.perform(m.protocol.Cancel(now, id))
	}
	return failure.Wrap(failure.KeyInProgress, failure.Unknown, "the caller stopped waiting for the idempotency key", cause)
}

func (m *Manager) grant(id uint64, v Verdict) (*Grant, error) {
	if v.Failure != nil {
		return nil, v.Failure
	}
	return &Grant{manager: m, id: id, replay: v.Replay, startBefore: v.StartBefore}, nil
}

// perform carries out actions. The caller holds the lock.
func (m *Manager) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Reply:
			if w, ok := m.waiters[a.ID]; ok {
				delete(m.waiters, a.ID)
				w <- a.Verdict
			}
		case Append:
			m.startAppend(func(ctx context.Context) (uint64, error) {
				return m.cfg.Writer.Append(ctx, &ferrypb.Envelope{Payload: &ferrypb.Envelope_Keys{Keys: a.Batch}})
			})
		case Resolve:
			m.startAppend(m.cfg.Writer.Resolve)
		}
	}
	wake(m.timerWake)
}

// startAppend runs call on a goroutine of its own, without the lock, and passes on its result. It does nothing once the
// manager is closed.
func (m *Manager) startAppend(call func(context.Context) (uint64, error)) {
	if m.ctx.Err() != nil {
		return
	}
	m.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, m.cfg.AppendTimeout)
		defer cancel()
		offset, err := call(ctx)
		m.handleEvent(func(now time.Time) []Action { return m.protocol.HandleAppendResult(now, offset, err) })
		wake(m.readWake)
	})
}

// handleEvent passes an event to the state machine and performs the resulting actions.
func (m *Manager) handleEvent(e func(now time.Time) []Action) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.perform(e(m.cfg.Clock.Now()))
}

// wake sends a signal to a channel with capacity 1, unless one is pending.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
