package stream

import (
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/infra"
)

// applyLogRecords decodes and applies records read from the log.
func (f *Follower) applyLogRecords(records []infra.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		e := &ferrypb.Envelope{}
		if err := proto.Unmarshal(r.Data, e); err != nil {
			e = &ferrypb.Envelope{}
			f.refuse(ReasonUndecodable, r.Offset)
		}
		f.apply(r.Offset, e)
	}
}

// applyPeerRecords applies records read from a peer.
func (f *Follower) applyPeerRecords(records []*ferrypb.StoredRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		e := r.Envelope
		if e == nil {
			e = &ferrypb.Envelope{}
		}
		f.apply(r.Offset, e)
	}
}

// apply passes the next record to the fold. Records after a gap and records that were already applied are skipped.
func (f *Follower) apply(offset uint64, e *ferrypb.Envelope) {
	if offset != f.cfg.Fold.Offset()+1 {
		return
	}
	f.cfg.Fold.Apply(offset, f.admit(offset, e))
	f.tail.add(offset, e)
	f.seqs.advance(offset)
	f.cfg.Changes.Notify()
}

// admit returns the envelope to apply: e itself, or an empty envelope if the record must not change the state.
func (f *Follower) admit(offset uint64, e *ferrypb.Envelope) *ferrypb.Envelope {
	empty := &ferrypb.Envelope{}
	if e.Format == 0 && e.Payload == nil {
		return empty
	}
	if e.Format != Format {
		f.refuse(ReasonFormat, offset)
		return empty
	}
	if f.seqs.recordSeq(e.Writer, e.WriterSeq) {
		f.refused[ReasonDuplicate]++
		return empty
	}
	if c := e.GetCheckpoint(); c != nil && c.Covers >= f.newest.Covers {
		f.newest = CheckpointInfo{Offset: offset, Covers: c.Covers, WrittenAt: time.UnixMilli(e.UnixMillis)}
	}
	return e
}

func (f *Follower) refuse(reason string, offset uint64) {
	f.refused[reason]++
	f.cfg.Logger.Log(eventlog.RecordRefused, "stream", f.cfg.Stream, "offset", offset, "reason", reason)
}

// restore replaces the state by a checkpoint if the checkpoint is ahead of it, and reports whether it did.
func (f *Follower) restore(c *ferrypb.Checkpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c == nil || c.Covers <= f.cfg.Fold.Offset() {
		return false
	}
	if err := f.cfg.Fold.Restore(c); err != nil {
		f.refuse(ReasonUndecodable, c.Covers)
		return false
	}
	f.seqs = restoreWriterSeqs(c.WriterSeqs)
	f.tail.reset()
	f.peerCheckpoint = nil
	f.cfg.Changes.Notify()
	f.cfg.Logger.Log(eventlog.StateRestored, "stream", f.cfg.Stream, "offset", c.Covers)
	return true
}
