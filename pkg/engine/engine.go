// Package engine defines the interface to a model engine and implements its HTTP client.
package engine

import "context"

// Engine is the interface of an agent to its model engine. Errors are failures of package failure.
type Engine interface {
	// Generate starts a generation. The caller must close the returned stream; closing it early cancels the generation.
	// A failure with outcome NotRun means that the engine did not start the generation.
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Order loads or unloads a model or an adapter. It returns once the engine has executed the order.
	// After a failure with outcome Unknown, the order may still take effect later.
	Order(ctx context.Context, order Order) error
	// Report returns the engine's latest load report, which may be stale.
	Report(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the prefix-cache events with sequence numbers from on. A gap in Seq means lost events.
	CacheEvents(ctx context.Context, from uint64) ([]CacheEvent, error)
}

// Stream is the token stream of one generation.
type Stream interface {
	// Next returns the next chunk. After the chunk with a FinishReason it returns io.EOF.
	// A stream that ends before that chunk fails with code Truncated or ConnectionLost.
	Next() (Chunk, error)
	// Close releases the stream and cancels an unfinished generation.
	Close() error
}
