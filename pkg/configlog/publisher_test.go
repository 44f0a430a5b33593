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

// testClock calls a hook instead of waiting.
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

func put(p *Publisher, id string, objects ...*ferrypb.Object) *ferrypb.ChangeSet {
	return Change{Puts: objects}.Prepare(p.Fold(), id)
}

func submit(t *testing.T, p *Publisher, id string, objects ...*ferrypb.Object) *ferrypb.HistoryEntry {
	t.Helper()
	entry, err := p.Submit(t.Context(), put(p, id, objects...))
	if err != nil {
		t.Fatal(err)
	}
	return entry
}

// Guards against two racing operators who both believe that their change is in force.
func TestRaceHasOneWinner(t *testing.T) {
	log := memlog.New()
	first, second := synced(t, log), synced(t, log)
	submit(t, first, "1", model("a", "1"))
	entry, err := second.Submit(t.Context(), put(second, "2", model("a", "2"), model("b", "1")))
	if !failure.HasCode(err, failure.PublishConflict) || failure.From(err).Object != "model/a" || entry.WinningOffset != 1 {
		t.Fatal(entry, err)
	}
	if _, ok := second.Fold().Set().Model("b"); ok {
		t.Fatal("part of the refused set is in force")
	}
}

// Guards against a lost answer that is taken for a failure or leads to a second append.
func TestLostAnswerIsSearched(t *testing.T) {
	log := memlog.New()
	p := synced(t, log)
	log.LoseAnswers(1)
	if entry := submit(t, p, "1", model("a", "1")); entry.Offset != 1 || log.Appends() != 1 {
		t.Fatal(entry, log.Appends())
	}
}

// unsure fails the first append with an unknown outcome although it never takes effect.
type unsure struct {
	*memlog.Log
	failures int
}

func (u *unsure) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if u.failures > 0 {
		u.failures--
		return 0, failure.New(failure.LogUnavailable, failure.Unknown, "connection lost")
	}
	return u.Log.Append(ctx, stream, data)
}

// Guards against an append that is given up although it never took effect.
func TestMissingRecordIsSentAgain(t *testing.T) {
	log := &unsure{Log: memlog.New(), failures: 2}
	p := NewPublisher(log, testClock{})
	if entry := submit(t, p, "1", model("a", "1")); !entry.Accepted || log.Appends() != 1 {
		t.Fatal(entry, log.Appends())
	}
}

// Guards against a change set that applies twice when its copies are both recorded,
// here with another writer's change in between.
func TestCopyAppliesOnce(t *testing.T) {
	log := memlog.New()
	p, other := synced(t, log), synced(t, log)
	cs := put(p, "1", model("a", "1"))
	if _, err := p.Submit(t.Context(), cs); err != nil {
		t.Fatal(err)
	}
	if err := other.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	submit(t, other, "2", model("a", "2"))
	fresh := NewPublisher(log, testClock{})
	if entry, err := fresh.Submit(t.Context(), cs); err != nil || entry.Offset != 1 {
		t.Fatal(entry, err)
	}
	if m, _ := fresh.Fold().Set().Model("a"); m.Version != "2" || fresh.Fold().Version("model", "a") != 2 {
		t.Fatal("the copy was applied")
	}
}

// Guards against an outage that is reported as a change of unknown fate, and the reverse.
func TestOutage(t *testing.T) {
	log := memlog.New()
	p := synced(t, log)
	log.SetDown(true)
	_, err := p.Submit(t.Context(), put(p, "1", model("a", "1")))
	if !failure.HasCode(err, failure.LogUnavailable) || failure.From(err).Outcome != failure.NotRun {
		t.Fatal(err)
	}
	log.SetDown(false)
	ctx, cancel := context.WithCancel(t.Context())
	log.LoseAnswers(1)
	lossy := NewPublisher(&downAfterAppend{log}, testClock{onWait: cancel})
	_, err = lossy.Submit(ctx, put(lossy, "2", model("b", "1")))
	if !failure.HasCode(err, failure.PublishUnknown) || failure.From(err).Outcome != failure.Unknown {
		t.Fatal(err)
	}
}

// downAfterAppend is out for readers once something was appended.
type downAfterAppend struct{ *memlog.Log }

func (d *downAfterAppend) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	offset, err := d.Log.Append(ctx, stream, data)
	d.SetDown(true)
	return offset, err
}

// Guards against a start over expired records that reverts configuration: a checkpoint serves only
// if every record after it is retained.
func TestStartOverExpiredRecords(t *testing.T) {
	log := memlog.New()
	p := synced(t, log)
	submit(t, p, "1", model("a", "1"))
	early := p.Fold().Checkpoint()
	submit(t, p, "2", model("b", "1"))
	submit(t, p, "3", model("a", "2"))
	store(t, log, early)
	log.Expire(Stream, 3)
	fresh := NewPublisher(log, testClock{})
	if err := fresh.Sync(t.Context()); !failure.HasCode(err, failure.OffsetExpired) {
		t.Fatal("a checkpoint with a gap after it was used:", err)
	}
	store(t, log, p.Fold().Checkpoint())
	submit(t, p, "4", model("c", "1"))
	if err := fresh.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(fresh.Fold().Checkpoint(), p.Fold().Checkpoint()) {
		t.Fatal("states differ")
	}
}

func store(t *testing.T, log *memlog.Log, c *ferrypb.Checkpoint) {
	t.Helper()
	data, err := proto.Marshal(&ferrypb.Envelope{Format: Format, Payload: &ferrypb.Envelope_Checkpoint{Checkpoint: c}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(t.Context(), Stream, data); err != nil {
		t.Fatal(err)
	}
}
