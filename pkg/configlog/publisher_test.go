package configlog

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra/memlog"
)

// testClock calls onWait instead of waiting.
type testClock struct{ onWait func() }

func (testClock) Now() time.Time { return time.UnixMilli(1) }

func (c testClock) After(time.Duration) <-chan time.Time {
	if c.onWait != nil {
		c.onWait()
	}
	ch := make(chan time.Time, 1)
	ch <- time.UnixMilli(2)
	return ch
}

func synced(t *testing.T, log *memlog.Log) *Publisher {
	t.Helper()
	p := NewPublisher(log, testClock{})
	if err := p.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	return p
}

func prepare(p *Publisher, id string, objects ...*ferrypb.Object) *ferrypb.ChangeSet {
	return Change{Puts: objects}.Prepare(p.Fold(), id)
}

func submit(t *testing.T, p *Publisher, id string, objects ...*ferrypb.Object) *ferrypb.HistoryEntry {
	t.Helper()
	entry, err := p.Submit(t.Context(), prepare(p, id, objects...))
	if err != nil {
		t.Fatal(err)
	}
	return entry
}

// Guards against two concurrent publishers whose changes are both reported as accepted.
func TestRaceHasOneWinner(t *testing.T) {
	log := memlog.New()
	first, second := synced(t, log), synced(t, log)
	submit(t, first, "1", model("a", "1"))
	entry, err := second.Submit(t.Context(), prepare(second, "2", model("a", "2"), model("b", "1")))
	if !failure.HasCode(err, failure.PublishConflict) || failure.From(err).Object != "model/a" || entry.WinningOffset != 1 {
		t.Fatalf("second change set: verdict %v, error %v; want a conflict on model/a with offset 1", entry, err)
	}
	if _, ok := second.Fold().Set().Model("b"); ok {
		t.Fatal("model b of the refused change set is in the current configuration")
	}
}

// Guards against treating a lost response as a failure or appending the record a second time.
func TestLostAnswerIsSearched(t *testing.T) {
	log := memlog.New()
	p := synced(t, log)
	log.LoseResponses(1)
	if entry := submit(t, p, "1", model("a", "1")); entry.Offset != 1 || log.Appends() != 1 {
		t.Fatalf("verdict %v after %d appends, want offset 1 after 1", entry, log.Appends())
	}
}

// unknownOutcomeLog fails the first appends with an unknown outcome and does not store their records.
type unknownOutcomeLog struct {
	*memlog.Log
	failures int
}

func (u *unknownOutcomeLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if u.failures > 0 {
		u.failures--
		return 0, failure.New(failure.LogUnavailable, failure.Unknown, "connection lost")
	}
	return u.Log.Append(ctx, stream, data)
}

// Guards against a publisher that stops trying although its append was not stored.
func TestMissingRecordIsSentAgain(t *testing.T) {
	log := &unknownOutcomeLog{Log: memlog.New(), failures: 2}
	p := NewPublisher(log, testClock{})
	if entry := submit(t, p, "1", model("a", "1")); !entry.Accepted || log.Appends() != 1 {
		t.Fatalf("verdict %v after %d stored appends, want accepted after 1", entry, log.Appends())
	}
}

// Guards against applying a change set twice if two copies of it are recorded, here with another publisher's change
// in between.
func TestCopyAppliesOnce(t *testing.T) {
	log := memlog.New()
	p, other := synced(t, log), synced(t, log)
	cs := prepare(p, "1", model("a", "1"))
	if _, err := p.Submit(t.Context(), cs); err != nil {
		t.Fatal(err)
	}
	if err := other.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	submit(t, other, "2", model("a", "2"))
	fresh := NewPublisher(log, testClock{})
	if entry, err := fresh.Submit(t.Context(), cs); err != nil || entry.Offset != 1 {
		t.Fatalf("second copy: verdict %v, error %v; want the verdict at offset 1", entry, err)
	}
	if m, _ := fresh.Fold().Set().Model("a"); m.Version != "2" || fresh.Fold().Version("model", "a") != 2 {
		t.Fatalf("model a has version %s from offset %d, want 2 from 2", m.Version, fresh.Fold().Version("model", "a"))
	}
}

// Guards against reporting an unknown outcome if nothing was appended while the log was unavailable, and the reverse.
func TestOutage(t *testing.T) {
	log := memlog.New()
	p := synced(t, log)
	log.SetDown(true)
	_, err := p.Submit(t.Context(), prepare(p, "1", model("a", "1")))
	if !failure.HasCode(err, failure.LogUnavailable) || failure.From(err).Outcome != failure.NotRun {
		t.Fatalf("append to an unavailable log: %v, want LogUnavailable with outcome NotRun", err)
	}
	log.SetDown(false)
	ctx, cancel := context.WithCancel(t.Context())
	log.LoseResponses(1)
	lossy := NewPublisher(&downAfterAppend{log}, testClock{onWait: cancel})
	_, err = lossy.Submit(ctx, prepare(lossy, "2", model("b", "1")))
	if !failure.HasCode(err, failure.PublishUnknown) || failure.From(err).Outcome != failure.Unknown {
		t.Fatalf("append without a response: %v, want PublishUnknown with outcome Unknown", err)
	}
}

// downAfterAppend is unavailable after the first append.
type downAfterAppend struct{ *memlog.Log }

func (d *downAfterAppend) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	offset, err := d.Log.Append(ctx, stream, data)
	d.SetDown(true)
	return offset, err
}

// Guards against a start that restores outdated configuration when records have expired: a checkpoint is usable only
// if every record after the covered offset is retained.
func TestStartOverExpiredRecords(t *testing.T) {
	log := memlog.New()
	p := synced(t, log)
	submit(t, p, "1", model("a", "1"))
	early := p.Fold().Checkpoint()
	submit(t, p, "2", model("b", "1"))
	submit(t, p, "3", model("a", "2"))
	appendCheckpoint(t, log, early)
	log.ExpireBefore(Stream, 3)
	fresh := NewPublisher(log, testClock{})
	if err := fresh.Sync(t.Context()); !failure.HasCode(err, failure.OffsetExpired) {
		t.Fatalf("start from a checkpoint with a gap: %v, want OffsetExpired", err)
	}
	appendCheckpoint(t, log, p.Fold().Checkpoint())
	submit(t, p, "4", model("c", "1"))
	if err := fresh.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(fresh.Fold().Checkpoint(), p.Fold().Checkpoint()) {
		t.Fatal("state after a start from a checkpoint differs from the publisher's")
	}
}

func appendCheckpoint(t *testing.T, log *memlog.Log, c *ferrypb.Checkpoint) {
	t.Helper()
	data, err := proto.Marshal(&ferrypb.Envelope{Format: Format, Payload: &ferrypb.Envelope_Checkpoint{Checkpoint: c}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(t.Context(), Stream, data); err != nil {
		t.Fatal(err)
	}
}
