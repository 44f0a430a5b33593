// Package infra holds the interfaces of the platform's services that the system uses.
package infra

import "context"

// Record is one stored record of a log stream.
type Record struct {
	// Offset is the position in the stream, counted from 1 without gaps.
	Offset uint64
	// Data is the record as appended.
	Data []byte
}

// Batch is the result of one read of a stream.
type Batch struct {
	// Records are in offset order and start at the requested offset.
	Records []Record
	// Next is the offset that follows the newest record of the stream.
	Next uint64
	// Oldest is the offset of the oldest retained record; equal to Next when none is retained.
	Oldest uint64
}

// Log is the platform's append-only log service.
//
// Errors are failures of package failure. An Append that fails with outcome Unknown may have taken effect.
type Log interface {
	// Append stores data at the end of the stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to limit records from offset from on, without waiting for new ones.
	// A from older than the oldest retained record fails with code OffsetExpired; the batch
	// then still carries Next and Oldest.
	Read(ctx context.Context, stream string, from uint64, limit int) (Batch, error)
}
