package configlog

import (
	"context"
	"strconv"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

// readBatchRecords is the maximum number of records per read.
const readBatchRecords = 256

// maxRestarts limits how often a read starts over because records expired while it searched for a checkpoint.
const maxRestarts = 3

// reader reads the stream into a fold.
type reader struct {
	log  infra.Log
	fold *Fold
	// lamport is the largest Lamport time of the records read.
	lamport uint64
}

// readToEnd applies all records up to the end of the stream. It fails with LogUnavailable or, if records have expired
// and no usable checkpoint covers them, with OffsetExpired.
func (r *reader) readToEnd(ctx context.Context) error {
	restarts := 0
	for {
		batch, err := r.log.Read(ctx, Stream, r.fold.Offset()+1, readBatchRecords)
		switch {
		case failure.HasCode(err, failure.OffsetExpired) && restarts < maxRestarts:
			restarts++
			if err := r.restore(ctx, batch.OldestOffset); err != nil {
				return err
			}
		case err != nil:
			return err
		default:
			r.apply(batch.Records)
			if r.fold.Offset()+1 >= batch.NextOffset || len(batch.Records) == 0 {
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

// decode returns nil for a record that is not an envelope. Applying nil changes only the offset.
func (r *reader) decode(record infra.Record) *ferrypb.Envelope {
	e := &ferrypb.Envelope{}
	if err := proto.Unmarshal(record.Data, e); err != nil {
		return nil
	}
	r.lamport = max(r.lamport, e.GetLamport())
	return e
}

// restore restores the first usable checkpoint among the retained records: one that is ahead of the fold and after
// which every record is retained.
func (r *reader) restore(ctx context.Context, oldest uint64) error {
	for from := oldest; ; {
		batch, err := r.log.Read(ctx, Stream, from, readBatchRecords)
		if failure.HasCode(err, failure.OffsetExpired) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, record := range batch.Records {
			e := r.decode(record)
			c := e.GetCheckpoint()
			if e.GetFormat() == Format && c.GetCovers() < record.Offset && r.usable(c, max(oldest, batch.OldestOffset)) && r.fold.Restore(c) == nil {
				return nil
			}
		}
		from += uint64(len(batch.Records))
		if from >= batch.NextOffset || len(batch.Records) == 0 {
			return failure.New(failure.OffsetExpired, failure.NotRun, "records before offset "+strconv.FormatUint(oldest, 10)+" have expired and no usable checkpoint covers them")
		}
	}
}

func (r *reader) usable(c *ferrypb.Checkpoint, oldest uint64) bool {
	return c != nil && c.GetCovers() > r.fold.Offset() && c.GetCovers()+1 >= oldest
}
