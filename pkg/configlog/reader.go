package configlog

import (
	"context"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

// readLimit is the number of records of one read.
const readLimit = 256

// maxRestarts bounds how often a reader starts again because records expired while it searched for a checkpoint.
const maxRestarts = 3

// reader brings a fold up to the end of the stream.
type reader struct {
	log  infra.Log
	fold *Fold
	// lamport is the largest Lamport time of the records read.
	lamport uint64
}

// toEnd applies every record of the stream. Failures have code LogUnavailable or, without a usable
// checkpoint over expired records, OffsetExpired.
func (r *reader) toEnd(ctx context.Context) error {
	restarts := 0
	for {
		batch, err := r.log.Read(ctx, Stream, r.fold.Offset()+1, readLimit)
		switch {
		case failure.HasCode(err, failure.OffsetExpired) && restarts < maxRestarts:
			restarts++
			if err := r.restore(ctx, batch.Oldest); err != nil {
				return err
			}
		case err != nil:
			return err
		default:
			r.apply(batch.Records)
			if r.fold.Offset()+1 >= batch.Next || len(batch.Records) == 0 {
				return nil
			}
		}
	}
}

func (r *reader) apply(records []infra.Record) {
	for _, record := range records {
		r.fold.Apply(record.Offset, r.decode(record))
	}
}

// decode returns nil for a record that is no envelope; it then moves the offset alone.
func (r *reader) decode(record infra.Record) *ferrypb.Envelope {
	e := &ferrypb.Envelope{}
	if err := proto.Unmarshal(record.Data, e); err != nil {
		return nil
	}
	r.lamport = max(r.lamport, e.GetLamport())
	return e
}

// restore searches the retained records for the first usable checkpoint: one that is newer than the fold
// and after which every record is retained.
func (r *reader) restore(ctx context.Context, oldest uint64) error {
	for from := oldest; ; {
		batch, err := r.log.Read(ctx, Stream, from, readLimit)
		if failure.HasCode(err, failure.OffsetExpired) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, record := range batch.Records {
			e := r.decode(record)
			c := e.GetCheckpoint()
			if e.GetFormat() == Format && c.GetCovers() < record.Offset && r.usable(c, max(oldest, batch.Oldest)) && r.fold.Restore(c) == nil {
				return nil
			}
		}
		from += uint64(len(batch.Records))
		if from >= batch.Next || len(batch.Records) == 0 {
			return failure.New(failure.OffsetExpired, failure.NotRun, "records have expired and no checkpoint covers them")
		}
	}
}

func (r *reader) usable(c *ferrypb.Checkpoint, oldest uint64) bool {
	return c != nil && c.GetCovers() > r.fold.Offset() && c.GetCovers()+1 >= oldest
}
