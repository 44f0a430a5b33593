package lease

import "context"

// Store keeps the record with conditional writes.
type Store interface {
	// Load returns the newest record and the position after it; Token 0 when there is none yet.
	Load(ctx context.Context) (Record, int64, error)
	// Swap stores the record if the position is still at and returns the next one.
	// It fails with code PublishConflict if another record was stored, and with outcome Unknown if it may have taken effect.
	Swap(ctx context.Context, at int64, rec Record) (int64, error)
}
