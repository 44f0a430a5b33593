package lease

import (
	"context"
	"time"
)

// Store stores the lease record with conditional writes. Positions increase with every record, also when the store is
// restored from an earlier copy and loses records.
type Store interface {
	// Load returns the latest record and its position, at which the next conditional write must be made; Token is 0 if
	// there is no record yet.
	Load(ctx context.Context) (Record, int64, error)
	// Await waits up to wait for a record after the position and returns the latest one with its position, and whether
	// there is one. The position must be one returned by Load, Await or Swap.
	Await(ctx context.Context, after int64, wait time.Duration) (rec Record, position int64, found bool, err error)
	// Swap stores the record if the position is still at, and returns the next position. It fails with code
	// PublishConflict if another record was stored or the store was restored, and with outcome Unknown if the write may
	// have taken effect.
	Swap(ctx context.Context, at int64, rec Record) (int64, error)
}
