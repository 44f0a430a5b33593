// Package stream follows a log stream and feeds its records to a fold.
package stream

import "trefoilferry.example/ferry/api/ferrypb"

// Fold is a deterministic replay of one log stream.
// It is owned by one goroutine and reads no clock, socket or random source.
type Fold interface {
	// Apply applies the record at offset. Offsets rise by one from call to call.
	// A record that the fold cannot accept changes nothing but the offset.
	Apply(offset uint64, e *ferrypb.Envelope)
	// Offset returns the last applied offset; 0 before the first record.
	Offset() uint64
	// Checkpoint returns the whole state with covers set to Offset.
	Checkpoint() *ferrypb.Checkpoint
	// Restore replaces the state by a checkpoint.
	// A checkpoint of another stream fails with code RecordInvalid and changes nothing.
	Restore(c *ferrypb.Checkpoint) error
}
