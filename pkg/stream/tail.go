package stream

import (
	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
)

// maxTailBytes limits the encoded size of the records kept for peers. A daemon may use 32 MB in total.
const maxTailBytes = 2 << 20

// tail holds the newest records within a limit on their number and size.
type tail struct {
	limit   int
	records []*ferrypb.StoredRecord
	bytes   int
}

// add appends a record. The state of a checkpoint record is dropped, because readers never apply it.
func (t *tail) add(offset uint64, e *ferrypb.Envelope) {
	if c := e.GetCheckpoint(); c != nil {
		e = &ferrypb.Envelope{Format: e.Format, Writer: e.Writer, WriterSeq: e.WriterSeq, Lamport: e.Lamport,
			UnixMillis: e.UnixMillis,
			Payload:    &ferrypb.Envelope_Checkpoint{Checkpoint: &ferrypb.Checkpoint{Covers: c.Covers}}}
	}
	t.records = append(t.records, &ferrypb.StoredRecord{Offset: offset, Envelope: e})
	t.bytes += proto.Size(e)
	for len(t.records) > t.limit || (t.bytes > maxTailBytes && len(t.records) > 1) {
		t.bytes -= proto.Size(t.records[0].Envelope)
		t.records[0] = nil
		t.records = t.records[1:]
	}
}

func (t *tail) reset() {
	t.records = nil
	t.bytes = 0
}

// start returns the offset of the first kept record, or end+1 if there is none.
func (t *tail) start(end uint64) uint64 {
	if len(t.records) == 0 {
		return end + 1
	}
	return t.records[0].Offset
}

// from returns a copy of up to limit records from offset on.
func (t *tail) from(offset uint64, limit int) []*ferrypb.StoredRecord {
	skip := 0
	if len(t.records) > 0 && offset > t.records[0].Offset {
		skip = int(offset - t.records[0].Offset)
	}
	if skip >= len(t.records) {
		return nil
	}
	rest := t.records[skip:]
	return append([]*ferrypb.StoredRecord(nil), rest[:min(limit, len(rest))]...)
}
