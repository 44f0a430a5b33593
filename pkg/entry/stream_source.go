package entry

import (
	"context"
	"runtime/debug"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/stream"
	"trefoilferry.example/ferry/pkg/timeline"
)

// checkpointTimeout bounds the append of a checkpoint, because the stream is not read in the meantime.
const checkpointTimeout = time.Second

// streamSource follows one log stream, publishes its state and writes checkpoints when they are due.
type streamSource struct {
	name         string
	follower     *stream.Follower
	checkpointer *stream.Checkpointer
	writer       *stream.Writer
	// publish sends the state to the control loop.
	publish func(ctx context.Context)
	clock   clock.Clock
	ring    *timeline.Ring
	log     *eventlog.Logger
	// logDown is set while polls fail.
	logDown bool
	// publishedComplete is set if the last published state had caught up.
	publishedComplete bool
	// publishedOffset is the offset of the last state that was published.
	publishedOffset uint64
}

// read polls the stream once. It publishes the state if it has changed, and when it has caught up for the first time.
func (s *streamSource) read(ctx context.Context) {
	_, err := s.follower.Poll(ctx)
	s.recordAvailability(ctx, err)
	caughtUp := s.follower.CaughtUp()
	if offset := s.follower.Offset(); offset != s.publishedOffset || (caughtUp && !s.publishedComplete) {
		first := caughtUp && !s.publishedComplete
		s.publishedComplete = caughtUp
		s.publishedOffset = offset
		s.publish(ctx)
		if first {
			// The first replay needs several times the memory of the state; it is returned to the system at once.
			debug.FreeOSMemory()
		}
	}
	s.writer.ObserveEnd(s.follower.Offset() + 1)
	s.checkpointIfDue(ctx)
}

// recordAvailability records in the timeline when the log becomes unavailable or available again.
func (s *streamSource) recordAvailability(ctx context.Context, err error) {
	logDown := err != nil
	if logDown == s.logDown || ctx.Err() != nil {
		return
	}
	s.logDown = logDown
	kind := timeline.LogRecovered
	if logDown {
		kind = timeline.LogUnavailable
	}
	s.ring.Add(timeline.Event{Kind: kind, Detail: s.name})
}

// checkpointIfDue appends a checkpoint if one is due.
func (s *streamSource) checkpointIfDue(ctx context.Context) {
	due := s.checkpointer.Due(stream.CheckpointInput{
		Now:            s.clock.Now(),
		Offset:         s.follower.Offset(),
		OldestRetained: s.follower.OldestRetained(),
		Newest:         s.follower.NewestCheckpoint(),
		CaughtUp:       s.follower.ReachedLogEnd(),
	})
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	checkpoint := s.follower.Checkpoint()
	envelope := &ferrypb.Envelope{Payload: &ferrypb.Envelope_Checkpoint{Checkpoint: checkpoint}}
	if _, err := s.writer.Append(ctx, envelope); err != nil {
		// A checkpoint that is stored later is still correct, so the append need not be resolved.
		s.writer.AbandonPending()
		s.log.Log(eventlog.CheckpointFailed, "stream", s.name, "error", err)
		return
	}
	s.ring.Add(timeline.Event{Kind: timeline.CheckpointStored, Detail: s.name})
	s.log.Log(eventlog.CheckpointWritten, "stream", s.name, "covers", checkpoint.GetCovers())
}
