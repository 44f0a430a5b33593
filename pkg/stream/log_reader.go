package stream

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

// logReadTimeout is the timeout of one read. A log that takes longer counts as unavailable.
const logReadTimeout = 10 * time.Second

// logReader reads one stream of the log. A read that takes longer than softTimeout continues in the background while
// the follower reads peers, and a later poll uses its result. Lost packets therefore do not keep the follower from
// its peers, and a slow log is still read to its end.
type logReader struct {
	log         infra.Log
	stream      string
	softTimeout time.Duration
	now         func() time.Time
	pending     *logRead
}

// logRead is one read and its result.
type logRead struct {
	started time.Time
	done    chan struct{}
	batch   infra.Batch
	err     error
}

// read returns the records from the given offset on and the time at which their read started. After softTimeout it
// fails with LogUnavailable. If the records come from a read started by an earlier poll, they may begin before from.
func (r *logReader) read(ctx context.Context, from uint64) (infra.Batch, time.Time, error) {
	if r.pending == nil {
		r.pending = r.start(ctx, from)
	}
	timer := time.NewTimer(r.softTimeout)
	defer timer.Stop()
	current := r.pending
	select {
	case <-current.done:
		r.pending = nil
		return current.batch, current.started, current.err
	case <-ctx.Done():
	case <-timer.C:
	}
	return infra.Batch{}, current.started, failure.New(failure.LogUnavailable, failure.Unknown, "log service has not responded yet")
}

func (r *logReader) start(ctx context.Context, from uint64) *logRead {
	read := &logRead{started: r.now(), done: make(chan struct{})}
	go func() {
		defer close(read.done)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), logReadTimeout)
		defer cancel()
		read.batch, read.err = r.log.Read(ctx, r.stream, from, logPageRecords)
	}()
	return read
}
