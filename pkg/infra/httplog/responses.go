package httplog

import (
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	Offset uint64 `json:"offset"`
}

// ReadAnswer is the answer to a read; with status 410 it has no records.
type ReadAnswer struct {
	Next    uint64       `json:"next"`
	Oldest  uint64       `json:"oldest"`
	Records []RecordData `json:"records"`
}

// RecordData is one record of a read.
type RecordData struct {
	Offset uint64 `json:"offset"`
	// Data is base64 in JSON.
	Data []byte `json:"data"`
}

// check refuses answers without the bounds of the stream, such as an empty JSON object of another server, which
// would look like an empty stream.
func (a ReadAnswer) check() error {
	if a.Oldest == 0 || a.Next < a.Oldest {
		return failure.New(failure.LogUnavailable, failure.Unknown, "answer of the log service has no valid bounds")
	}
	return nil
}

// batch checks that the records start at from and have no gaps, because a fold must see every record once.
func (a ReadAnswer) batch(from uint64) (infra.Batch, error) {
	batch := infra.Batch{Next: a.Next, Oldest: a.Oldest}
	for i, r := range a.Records {
		if r.Offset != from+uint64(i) || r.Offset >= a.Next {
			return infra.Batch{}, failure.New(failure.LogUnavailable, failure.Unknown, "answer of the log service has a gap")
		}
		batch.Records = append(batch.Records, infra.Record{Offset: r.Offset, Data: r.Data})
	}
	return batch, nil
}
