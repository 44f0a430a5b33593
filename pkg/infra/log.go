// Package infra defines the interfaces to the services of the platform: the log service and the host list.
package infra

import "context"

// Record is one stored record of a log stream.
type Record struct {
	// Offset is the position in the stream, starting at 1 and without gaps.
	Offset uint64
	// Data is the record as appended.
	Data []byte
}

// Batch is the result of one read of a stream.
type Batch struct {
	// Records are ordered by offset and start at the requested offset.
	Records []Record
	// NextOffset is the offset after the newest record of the stream.
	NextOffset uint64
	// OldestOffset is the offset of the oldest retained record; it equals NextOffset if none is retained.
	OldestOffset uint64
}

// Log is the platform's append-only log service.
//
// Errors are failures of package failure. An Append that fails with outcome Unknown may have stored the record.
type Log interface {
	// Append stores data at the end of the stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to limit records, starting at offset from. It does not wait for new records.
	// If from precedes the oldest retained record, Read fails with code OffsetExpired and the batch holds
	// NextOffset and OldestOffset only.
	Read(ctx context.Context, stream string, from uint64, limit int) (Batch, error)
}
