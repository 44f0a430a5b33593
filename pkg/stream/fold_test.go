package stream

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra/memlog"
)

const testStream = "config"

// listFold stores the ids of the applied change sets.
type listFold struct {
	offset       uint64
	changeSetIDs []string
}

func (l *listFold) Apply(offset uint64, e *ferrypb.Envelope) {
	l.offset = offset
	if set := e.GetChangeSet(); set != nil {
		l.changeSetIDs = append(l.changeSetIDs, set.Id)
	}
}

func (l *listFold) Offset() uint64 { return l.offset }

func (l *listFold) Checkpoint() *ferrypb.Checkpoint {
	state := &ferrypb.ConfigState{Offset: l.offset}
	for _, id := range l.changeSetIDs {
		state.History = append(state.History, &ferrypb.HistoryEntry{Id: id})
	}
	return &ferrypb.Checkpoint{Covers: l.offset, State: &ferrypb.Checkpoint_Config{Config: state}}
}

func (l *listFold) Restore(c *ferrypb.Checkpoint) error {
	if c.GetConfig() == nil {
		return failure.New(failure.RecordInvalid, failure.NotRun, "not a config checkpoint")
	}
	l.offset = c.Covers
	l.changeSetIDs = nil
	for _, h := range c.GetConfig().History {
		l.changeSetIDs = append(l.changeSetIDs, h.Id)
	}
	return nil
}

func changeSet(id string) *ferrypb.Envelope {
	return &ferrypb.Envelope{Payload: &ferrypb.Envelope_ChangeSet{ChangeSet: &ferrypb.ChangeSet{Id: id}}}
}

func checkpointRecord(c *ferrypb.Checkpoint) *ferrypb.Envelope {
	return &ferrypb.Envelope{Payload: &ferrypb.Envelope_Checkpoint{Checkpoint: c}}
}

func testWriter(log *memlog.Log, id string) *Writer {
	lamport := uint64(0)
	return NewWriter(log, testStream, id, time.Now, func() uint64 { lamport++; return lamport })
}

func mustAppend(t *testing.T, w *Writer, e *ferrypb.Envelope) uint64 {
	t.Helper()
	offset, err := w.Append(context.Background(), e)
	if err != nil {
		t.Fatal(err)
	}
	return offset
}

func mustPoll(t *testing.T, f *Follower) {
	t.Helper()
	if _, err := f.Poll(context.Background()); err != nil {
		t.Fatal(err)
	}
}
