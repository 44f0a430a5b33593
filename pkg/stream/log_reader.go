package stream

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

// logReadLimit bounds one read of the log. A log slower than this counts as out.
const logReadLimit = 10 * time.Second

// logReader reads one stream of the log. A read that takes longer than the patience goes on while the follower asks
// peers, and its answer is used by a later round: lost packets must not keep the follower from its peers, and a slow log
// must still be read to its end.
type logReader struct {
	log      infra.Log
	stream   string
	patience time.Duration
	now      func() time.Time
	pending  *logRead
}

// logRead is one read and its answer.
type logRead struct {
	started time.Time
	done    chan struct{}
	batch   infra.Batch
	err     error
}

// read returns the records from an offset on and the time when their read started. After the patience it fails with
// LogUnavailable. The records may start before from when they belong to a read of an earlier round.
func (r *logReader) read(ctx context.Context, from uint64) (infra.Batch, time.Time, error) {
	if r.pending == nil {
		r.pending = r.start(ctx, from)
	}
	patience := time.NewTimer(r.patience)
	defer patience.Stop()
	current := r.pending
	select {
	case <-current.done:
		r.pending = nil
		return current.batch, current.started, current.err
	case <-ctx.Done():
	case <-patience.C:
	}
	return infra.Batch{}, current.started, failure.New(failure.LogUnavailable, failure.Unknown, "log service has not answered yet")
}

func (r *logReader) start(ctx context.Context, from uint64) *logRead {
	read := &logRead{started: r.now(), done: make(chan struct{})}
	go func() {
		defer close(read.done)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), logReadLimit)
		defer cancel()
		read.batch, read.err = r.log.Read(ctx, r.stream, from, readPage)
	}()
	return read
}
