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
	// Offset of the record; 0 when none was seen.
	Offset uint64
	// Covers is the last offset that the checkpoint includes.
	Covers uint64
	// At is the writer's time.
	At time.Time
}

// downPause is the time between two attempts of a host that is no root to read a log that is out. A thousand hosts that
// tried at every poll would spend more on it than on all other control.
const downPause = time.Second

// Follower reads a stream and feeds one fold. One goroutine calls Poll; the other methods are safe for
// concurrent use. The fold is read inside View only, because a Watcher applies records as well.
type Follower struct {
	cfg FollowerConfig

	mu   sync.Mutex
	seqs *writerSeqs
	tail tail
	// newest is the newest checkpoint record of the stream.
	newest CheckpointInfo
	// served is the last checkpoint made for peers.
	served  *ferrypb.Checkpoint
	refused map[string]uint64
	// freshAt is the time up to which the state is known to equal the log; zero if never.
	freshAt  time.Time
	caughtUp bool
	logEnd   bool
	oldest   uint64
	// expected is the largest offset that another process has told of, and expectedAt the time of the first notice of one
	// that has not arrived; zero once the log was read for it.
	expected   uint64
	expectedAt time.Time

	// Fields of the polling goroutine.
	reader      *logReader
	logDown     bool
	logErr      error
	logTriedAt  time.Time
	relaysStale bool
	nextPeer    int
}

// NewFollower returns a follower that starts after the fold's offset.
func NewFollower(cfg FollowerConfig) *Follower {
	cfg = cfg.withDefaults()
	return &Follower{
		cfg:     cfg,
		seqs:    newWriterSeqs(),
		tail:    tail{limit: cfg.KeepRecords},
		refused: map[string]uint64{},
		reader:  &logReader{log: cfg.Log, stream: cfg.Stream, patience: cfg.LogPatience, now: cfg.Now},
	}
}

// Poll does one read round and reports whether the fold's offset rose. It fails with LogUnavailable when neither
// the log nor a peer answered, and with OffsetExpired when no usable checkpoint exists anywhere.
func (f *Follower) Poll(ctx context.Context) (bool, error) {
	before := f.Offset()
	err := f.round(ctx)
	return f.Offset() > before, err
}

func (f *Follower) round(ctx context.Context) error {
	if f.cfg.Root != nil && f.CaughtUp() {
		if f.relayed() {
			return nil
		}
		if wait := f.cfg.Now().Sub(f.logTriedAt); f.logDown && !f.cfg.Root() && wait < downPause {
			return f.logErr
		}
	}
	f.logTriedAt = f.cfg.Now()
	err := f.pollLog(ctx)
	f.logErr = err
	f.noteLog(err)
	if err == nil || f.cfg.Peers == nil {
		return err
	}
	if f.CaughtUp() {
		return f.pollSomePeers(ctx, err)
	}
	return f.pollAllPeers(ctx, err)
}

func (f *Follower) noteLog(err error) {
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

// View calls f while no record is applied. It must not call other methods of the follower.
func (f *Follower) View(view func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	view()
}

// CaughtUp reports whether the follower has once reached the end of the log or, with the log out, of every
// peer that answered.
func (f *Follower) CaughtUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUp
}

// ReachedLogEnd reports whether the follower has once reached the end of the log itself or of a fresh relay.
func (f *Follower) ReachedLogEnd() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logEnd
}

// Age returns the time since the state was known to equal the log; -1 if it never was.
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

// Oldest returns the oldest retained offset seen at the log; 0 if unknown.
func (f *Follower) Oldest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.oldest
}

// CheckpointInput returns what a Checkpointer decides on.
func (f *Follower) CheckpointInput(now time.Time) CheckpointInput {
	f.mu.Lock()
	defer f.mu.Unlock()
	return CheckpointInput{Now: now, Offset: f.cfg.Fold.Offset(), Oldest: f.oldest, Newest: f.newest, CaughtUp: f.logEnd}
}

// CheckpointRecord returns a record with the current state. A process appends it with a writer of its own id, so that an
// unresolved append of the process's other records does not delay it.
func (f *Follower) CheckpointRecord() *ferrypb.Envelope {
	return &ferrypb.Envelope{Payload: &ferrypb.Envelope_Checkpoint{Checkpoint: f.Checkpoint()}}
}

// Checkpoint returns the state of the fold with the writers' sequence numbers.
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

// fresh notes that the state equalled the log at a time.
func (f *Follower) fresh(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.caughtUp = true
	f.logEnd = true
	if at.After(f.freshAt) {
		f.freshAt = at
	}
}

// unavailable returns the failure of a round in which no source answered.
func unavailable(cause error) error {
	code := failure.LogUnavailable
	if failure.HasCode(cause, failure.OffsetExpired) {
		code = failure.OffsetExpired
	}
	return failure.Wrap(code, failure.NotRun, "no source of the stream answered", cause)
}
