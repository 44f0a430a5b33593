// Package stream reads and replays log streams, writes checkpoints of their state, and relays records and the host
// list between daemons.
package stream

import "trefoilferry.example/ferry/api/ferrypb"

// Fold is the deterministic state machine of one log stream: equal records lead to equal states. It is not safe for
// concurrent use and must not depend on a clock, on I/O or on random numbers.
type Fold interface {
	// Apply applies the record at offset. Offsets increase by one from call to call. A record that the fold cannot
	// accept changes only the offset.
	Apply(offset uint64, e *ferrypb.Envelope)
	// Offset returns the last applied offset; 0 before the first record.
	Offset() uint64
	// Checkpoint returns the complete state; its Covers field equals Offset.
	Checkpoint() *ferrypb.Checkpoint
	// Restore replaces the state by a checkpoint. For a checkpoint of another stream it fails with code RecordInvalid
	// and changes nothing.
	Restore(c *ferrypb.Checkpoint) error
}
