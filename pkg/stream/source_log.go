package stream

import (
	"context"
	"strconv"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

const (
	// logPageRecords is the number of records per read of the log.
	logPageRecords = 500
	// maxPagesPerPoll limits one poll, so that a starting process can serve requests in between.
	maxPagesPerPoll = 64
)

// pollLog reads the log to its end or for maxPagesPerPoll pages.
func (f *Follower) pollLog(ctx context.Context) error {
	for range maxPagesPerPoll {
		batch, started, err := f.reader.read(ctx, f.Offset()+1)
		f.updateOldestRetained(batch.OldestOffset)
		if failure.HasCode(err, failure.OffsetExpired) {
			if err := f.restoreAfterGap(ctx, batch); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		f.applyLogRecords(batch.Records)
		if f.Offset()+1 >= batch.NextOffset {
			f.markFresh(started)
			return nil
		}
	}
	return nil
}

func (f *Follower) updateOldestRetained(oldest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.oldestRetained = max(f.oldestRetained, oldest)
}

// restoreAfterGap restores the newest usable checkpoint from the retained records when the next record has expired. A
// checkpoint is usable only if every record after the offset that it covers is retained.
func (f *Follower) restoreAfterGap(ctx context.Context, gap infra.Batch) error {
	var best *ferrypb.Checkpoint
	from := gap.OldestOffset
	for from < gap.NextOffset {
		batch, _, err := f.reader.read(ctx, from)
		if err != nil {
			return err
		}
		if len(batch.Records) == 0 {
			break
		}
		best = newerCheckpoint(best, batch.Records, gap.OldestOffset)
		from = batch.Records[len(batch.Records)-1].Offset + 1
	}
	if !f.restore(best) {
		return failure.New(failure.OffsetExpired, failure.NotRun, "records before offset "+strconv.FormatUint(gap.OldestOffset, 10)+" have expired and no usable checkpoint is retained")
	}
	return nil
}

func newerCheckpoint(best *ferrypb.Checkpoint, records []infra.Record, oldestRetained uint64) *ferrypb.Checkpoint {
	for _, r := range records {
		var e ferrypb.Envelope
		if proto.Unmarshal(r.Data, &e) != nil || e.Format != Format {
			continue
		}
		c := e.GetCheckpoint()
		if c == nil || c.Covers+1 < oldestRetained || c.Covers >= r.Offset {
			continue
		}
		if best == nil || c.Covers > best.Covers {
			best = c
		}
	}
	return best
}
