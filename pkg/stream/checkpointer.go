package stream

import (
	"math/rand/v2"
	"time"
)

const (
	// renewFraction is the share of the retention after which a checkpoint is renewed; a third leaves two
	// further chances before the records behind the checkpoint expire.
	renewFraction = 3
	// delayFraction is the share of the retention over which the processes spread their attempts.
	delayFraction = 12
)

// CheckpointInput is what a Checkpointer decides on.
type CheckpointInput struct {
	Now time.Time
	// Offset is the last applied offset.
	Offset uint64
	// Oldest is the oldest retained offset; 0 if unknown.
	Oldest uint64
	// Newest is the newest checkpoint record of the stream.
	Newest CheckpointInfo
	// CaughtUp is true once the follower has reached the end of the log.
	CaughtUp bool
}

// Checkpointer decides when a process appends a checkpoint. It is owned by one goroutine.
type Checkpointer struct {
	retention time.Duration
	random    *rand.Rand
	dueAt     time.Time
	// basis is the newest checkpoint for which dueAt was drawn.
	basis uint64
}

// NewCheckpointer returns a checkpointer for a stream whose records are kept for retention.
func NewCheckpointer(retention time.Duration, seed uint64) *Checkpointer {
	return &Checkpointer{retention: retention, random: rand.New(rand.NewPCG(seed, 0))}
}

// Due reports whether the process shall append a checkpoint now. After a true result the next attempt is due
// after another random delay, or a renewal period after the new checkpoint has been seen.
func (c *Checkpointer) Due(in CheckpointInput) bool {
	if !in.CaughtUp || in.Offset == 0 {
		return false
	}
	if c.dueAt.IsZero() || c.basis != in.Newest.Offset {
		c.basis = in.Newest.Offset
		c.dueAt = c.base(in).Add(c.delay())
	}
	if in.Now.Before(c.dueAt) {
		return false
	}
	c.dueAt = in.Now.Add(c.retention/delayFraction + c.delay())
	return true
}

// base returns the time at which a new checkpoint becomes useful: at once when no usable one is known.
func (c *Checkpointer) base(in CheckpointInput) time.Time {
	if in.Newest.Offset == 0 || in.Newest.Covers+1 < in.Oldest {
		return in.Now
	}
	at := in.Newest.At
	if at.After(in.Now) {
		// The writer's clock is ahead; waiting for it could outlast the retention.
		at = in.Now
	}
	return at.Add(c.retention / renewFraction)
}

func (c *Checkpointer) delay() time.Duration {
	return time.Duration(c.random.Int64N(int64(c.retention/delayFraction) + 1))
}
