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

// checkpointTimeout bounds the append of a checkpoint, since the stream is not followed meanwhile.
const checkpointTimeout = time.Second

// streamSource follows one log stream, publishes its state and renews its checkpoints.
type streamSource struct {
	name         string
	follower     *stream.Follower
	checkpointer *stream.Checkpointer
	writer       *stream.Writer
	publish      func(ctx context.Context)
	clock        clock.Clock
	ring         *timeline.Ring
	log          *eventlog.Logger
	down         bool
	published    bool
	// offset is the last published one.
	offset uint64
}

// read does one round. The state is published when it changed and once at the first time it is complete.
func (s *streamSource) read(ctx context.Context) {
	_, err := s.follower.Poll(ctx)
	s.noteAvailability(ctx, err)
	complete := s.follower.CaughtUp()
	if offset := s.follower.Offset(); offset != s.offset || (complete && !s.published) {
		first := complete && !s.published
		s.published = complete
		s.offset = offset
		s.publish(ctx)
		if first {
			// The first replay needs several times the memory of the state.
			debug.FreeOSMemory()
		}
	}
	s.writer.Observe(s.follower.Offset() + 1)
	s.renew(ctx)
}

func (s *streamSource) noteAvailability(ctx context.Context, err error) {
	down := err != nil
	if down == s.down || ctx.Err() != nil {
		return
	}
	s.down = down
	kind := timeline.LogRecovered
	if down {
		kind = timeline.LogUnavailable
	}
	s.ring.Add(timeline.Event{Kind: kind, Detail: s.name})
}

func (s *streamSource) renew(ctx context.Context) {
	due := s.checkpointer.Due(stream.CheckpointInput{
		Now:      s.clock.Now(),
		Offset:   s.follower.Offset(),
		Oldest:   s.follower.Oldest(),
		Newest:   s.follower.NewestCheckpoint(),
		CaughtUp: s.follower.ReachedLogEnd(),
	})
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	checkpoint := s.follower.Checkpoint()
	envelope := &ferrypb.Envelope{Payload: &ferrypb.Envelope_Checkpoint{Checkpoint: checkpoint}}
	if _, err := s.writer.Append(ctx, envelope); err != nil {
		// A late copy of a checkpoint is still correct, so nothing waits for this one.
		s.writer.Forget()
		s.log.Log(eventlog.CheckpointFailed, "stream", s.name, "error", err)
		return
	}
	s.ring.Add(timeline.Event{Kind: timeline.CheckpointStored, Detail: s.name})
	s.log.Log(eventlog.CheckpointWritten, "stream", s.name, "covers", checkpoint.GetCovers())
}
