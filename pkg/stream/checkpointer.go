package stream

import (
	"math/rand/v2"
	"time"
)

const (
	// A checkpoint is renewed after retention/renewDivisor. One third of the retention leaves two more chances to
	// write a checkpoint before the records after the previous one expire.
	renewDivisor = 3
	// Processes spread their attempts randomly over retention/delayDivisor.
	delayDivisor = 12
)

// CheckpointInput is the stream state on which a Checkpointer bases its decision.
type CheckpointInput struct {
	Now time.Time
	// Offset is the last applied offset.
	Offset uint64
	// OldestRetained is the oldest retained offset; 0 if unknown.
	OldestRetained uint64
	// Newest is the newest checkpoint record of the stream.
	Newest CheckpointInfo
	// CaughtUp is true once the follower has reached the end of the log.
	CaughtUp bool
}

// Checkpointer decides when a process appends a checkpoint. It is not safe for concurrent use.
type Checkpointer struct {
	retention time.Duration
	random    *rand.Rand
	dueAt     time.Time
	// dueFor is the offset of the newest checkpoint for which dueAt was computed.
	dueFor uint64
}

// NewCheckpointer returns a checkpointer for a stream whose records are retained for the given time.
func NewCheckpointer(retention time.Duration, seed uint64) *Checkpointer {
	return &Checkpointer{retention: retention, random: rand.New(rand.NewPCG(seed, 0))}
}

// Due reports whether the process should append a checkpoint now. After a true result, the next attempt is due after
// another random delay, or one renewal period after the new checkpoint has been seen.
func (c *Checkpointer) Due(in CheckpointInput) bool {
	if !in.CaughtUp || in.Offset == 0 {
		return false
	}
	if c.dueAt.IsZero() || c.dueFor != in.Newest.Offset {
		c.dueFor = in.Newest.Offset
		c.dueAt = c.renewAt(in).Add(c.randomDelay())
	}
	if in.Now.Before(c.dueAt) {
		return false
	}
	c.dueAt = in.Now.Add(c.retention/delayDivisor + c.randomDelay())
	return true
}

// renewAt returns the earliest time for the next checkpoint: now if no usable checkpoint is known.
func (c *Checkpointer) renewAt(in CheckpointInput) time.Time {
	if in.Newest.Offset == 0 || in.Newest.Covers+1 < in.OldestRetained {
		return in.Now
	}
	at := in.Newest.WrittenAt
	if at.After(in.Now) {
		// The writer's clock is ahead. Waiting for it could take longer than the retention.
		at = in.Now
	}
	return at.Add(c.retention / renewDivisor)
}

func (c *Checkpointer) randomDelay() time.Duration {
	return time.Duration(c.random.Int64N(int64(c.retention/delayDivisor) + 1))
}
