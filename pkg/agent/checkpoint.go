package agent

import (
	"context"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/stream"
)

// poll appends a checkpoint when one is due.
func (s *checkpointSource) poll(ctx context.Context) {
	due := s.checkpointer.Due(stream.CheckpointInput{
		Now:            s.now(),
		Offset:         s.follower.Offset(),
		OldestRetained: s.follower.OldestRetained(),
		Newest:         s.follower.NewestCheckpoint(),
		CaughtUp:       s.follower.CaughtUp(),
	})
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	checkpoint := s.follower.Checkpoint()
	_, err := s.writer.Append(ctx, &ferrypb.Envelope{Payload: &ferrypb.Envelope_Checkpoint{Checkpoint: checkpoint}})
	if err != nil {
		// The append is not resolved: a checkpoint that is stored late or twice is still correct.
		s.writer.AbandonPending()
		s.logger.Log(eventlog.CheckpointFailed, "stream", s.stream, "error", err)
		return
	}
	s.logger.Log(eventlog.CheckpointWritten, "stream", s.stream, "covers", checkpoint.GetCovers())
}
