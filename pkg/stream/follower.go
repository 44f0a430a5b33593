package stream

import (
	"context"
	"sync"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
)

// CheckpointInfo describes a checkpoint record seen in the stream.
type CheckpointInfo struct {
	// Offset is the offset of the record; 0 if none was seen.
	Offset uint64
	// Covers is the last offset whose effect the checkpoint includes.
	Covers uint64
	// WrittenAt is the time of the write by the writer's clock.
	WrittenAt time.Time
}

// logRetryInterval is the time between attempts to read an unavailable log from a host that is not a root. If a
// thousand hosts retried at every poll, the retries would cost more than all other control traffic.
const logRetryInterval = time.Second

// Follower reads a stream and applies its records to one fold. One goroutine calls Poll; the other methods are safe
// for concurrent use. Because a Watcher applies records as well, the fold must be read only inside View.
type Follower struct {
	cfg FollowerConfig

	mu   sync.Mutex
	seqs *writerSeqs
	tail tail
	// newest is the newest checkpoint record of the stream.
	newest CheckpointInfo
	// peerCheckpoint is the last checkpoint made for peers.
	peerCheckpoint *ferrypb.Checkpoint
	refused        map[string]uint64
	// freshAt is the latest time at which the state is known to have matched the log; zero if never.
	freshAt time.Time
	// caughtUp and reachedLogEnd are returned by CaughtUp and ReachedLogEnd.
	caughtUp       bool
	reachedLogEnd  bool
	oldestRetained uint64
	// expected is the largest offset reported by another process. expectedAt is when the first offset that is still
	// missing was reported; zero once the log was read because of it.
	expected   uint64
	expectedAt time.Time

	// The following fields belong to the polling goroutine.
	reader      *logReader
	logDown     bool
	logErr      error
	logTriedAt  time.Time
	relaysStale bool
	nextPeer    int
}

// NewFollower returns a follower that continues after the fold's offset.
func NewFollower(cfg FollowerConfig) *Follower {
	cfg = cfg.withDefaults()
	return &Follower{
		cfg:     cfg,
		seqs:    newWriterSeqs(),
		tail:    tail{limit: cfg.TailRecords},
		refused: map[string]uint64{},
		reader:  &logReader{log: cfg.Log, stream: cfg.Stream, softTimeout: cfg.LogFallbackAfter, now: cfg.Now},
	}
}

// Poll reads the log once or, if the log is unavailable, peers, and reports whether the fold's offset increased. It
// fails with LogUnavailable if neither the log nor a peer responded, and with OffsetExpired if records have expired
// and no source has a usable checkpoint.
func (f *Follower) Poll(ctx context.Context) (bool, error) {
	before := f.Offset()
	err := f.pollSources(ctx)
	return f.Offset() > before, err
}

func (f *Follower) pollSources(ctx context.Context) error {
	if f.cfg.IsRoot != nil && f.CaughtUp() {
		if f.relayFresh() {
			return nil
		}
		if wait := f.cfg.Now().Sub(f.logTriedAt); f.logDown && !f.cfg.IsRoot() && wait < logRetryInterval {
			return f.logErr
		}
	}
	f.logTriedAt = f.cfg.Now()
	err := f.pollLog(ctx)
	f.logErr = err
	f.updateLogState(err)
	if err == nil || f.cfg.Peers == nil {
		return err
	}
	if f.CaughtUp() {
		return f.pollSomePeers(ctx, err)
	}
	return f.pollAllPeers(ctx, err)
}

func (f *Follower) updateLogState(err error) {
	down := err != nil
	if down == f.logDown {
		return
	}
	f.logDown = down
	if down {
		f.cfg.Logger.Log(eventlog.LogUnavailable, "stream", f.cfg.Stream, "error", err)
		return
	}
	f.cfg.Logger.Log(eventlog.LogRecovered, "stream", f.cfg.Stream)
}

// Offset returns the last applied offset.
func (f *Follower) Offset() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Fold.Offset()
}

// View calls view while no record is applied. The function must not call other methods of the follower.
func (f *Follower) View(view func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	view()
}

// CaughtUp reports whether the follower has ever reached the end of the log or, with the log unavailable, the end of
// every peer that responded.
func (f *Follower) CaughtUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUp
}

// ReachedLogEnd reports whether the follower has ever reached the end of the log, directly or through a fresh relay.
func (f *Follower) ReachedLogEnd() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachedLogEnd
}

// Age returns the time since the state was last known to match the log; -1 if it never was.
func (f *Follower) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age(now)
}

func (f *Follower) age(now time.Time) time.Duration {
	if f.freshAt.IsZero() {
		return -1
	}
	return max(0, now.Sub(f.freshAt))
}

// Refused returns the number of records that changed nothing, by reason.
func (f *Follower) Refused() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]uint64, len(f.refused))
	for reason, n := range f.refused {
		out[reason] = n
	}
	return out
}

// NewestCheckpoint returns the newest checkpoint record seen.
func (f *Follower) NewestCheckpoint() CheckpointInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// OldestRetained returns the oldest retained offset that the log has reported; 0 if unknown.
func (f *Follower) OldestRetained() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.oldestRetained
}

// CheckpointInput returns the input for a Checkpointer.
func (f *Follower) CheckpointInput(now time.Time) CheckpointInput {
	f.mu.Lock()
	defer f.mu.Unlock()
	return CheckpointInput{Now: now, Offset: f.cfg.Fold.Offset(), OldestRetained: f.oldestRetained, Newest: f.newest, CaughtUp: f.reachedLogEnd}
}

// CheckpointRecord returns an unsent record with the current state. A process appends it with a separate writer id,
// so that an unresolved append of another record does not delay it.
func (f *Follower) CheckpointRecord() *ferrypb.Envelope {
	return &ferrypb.Envelope{Payload: &ferrypb.Envelope_Checkpoint{Checkpoint: f.Checkpoint()}}
}

// Checkpoint returns the state of the fold together with the sequence numbers of the writers.
func (f *Follower) Checkpoint() *ferrypb.Checkpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checkpoint()
}

func (f *Follower) checkpoint() *ferrypb.Checkpoint {
	c := f.cfg.Fold.Checkpoint()
	c.WriterSeqs = f.seqs.save()
	return c
}

// markFresh records that the state matched the log at the given time.
func (f *Follower) markFresh(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.caughtUp = true
	f.reachedLogEnd = true
	if at.After(f.freshAt) {
		f.freshAt = at
	}
}

// noSourceError returns the error of a poll that could use neither the log nor a peer.
func noSourceError(cause error) error {
	code := failure.LogUnavailable
	if failure.HasCode(cause, failure.OffsetExpired) {
		code = failure.OffsetExpired
	}
	return failure.Wrap(code, failure.NotRun, "stream cannot be read from the log or a peer", cause)
}
