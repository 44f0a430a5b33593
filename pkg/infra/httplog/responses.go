package httplog

import (
	"fmt"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// ReadResponse is the response to a read; with status 410 it has no records.
type ReadResponse struct {
	Next    uint64       `json:"next"`
	Oldest  uint64       `json:"oldest"`
	Records []RecordData `json:"records"`
}

// RecordData is one record in the response to a read.
type RecordData struct {
	Offset uint64 `json:"offset"`
	// Data is base64 in JSON.
	Data []byte `json:"data"`
}

// checkBounds rejects a response without valid stream bounds. An empty JSON object, for example of another server, would
// otherwise look like an empty stream.
func (resp ReadResponse) checkBounds() error {
	if resp.Oldest == 0 || resp.Next < resp.Oldest {
		return failure.New(failure.LogUnavailable, failure.Unknown, fmt.Sprintf("log service response has invalid bounds: oldest %d, next %d", resp.Oldest, resp.Next))
	}
	return nil
}

// toBatch verifies that the records start at offset from and have no gaps, because a fold must apply every record exactly
// once.
func (resp ReadResponse) toBatch(from uint64) (infra.Batch, error) {
	batch := infra.Batch{NextOffset: resp.Next, OldestOffset: resp.Oldest}
	for i, r := range resp.Records {
		if r.Offset != from+uint64(i) || r.Offset >= resp.Next {
			return infra.Batch{}, failure.New(failure.LogUnavailable, failure.Unknown,
				fmt.Sprintf("log service response has a record at offset %d, want %d and below next offset %d", r.Offset, from+uint64(i), resp.Next))
		}
		batch.Records = append(batch.Records, infra.Record{Offset: r.Offset, Data: r.Data})
	}
	return batch, nil
}
