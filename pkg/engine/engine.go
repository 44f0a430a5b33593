// Package engine is the interface to a model engine and its HTTP client.
package engine

import "context"

// Engine is one model engine as its agent sees it. Errors are failures of package failure.
type Engine interface {
	// Generate starts a generation. The returned stream must be closed; closing it early cancels the work at the engine.
	// A failure with outcome NotRun means that the engine did not start the work.
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Order asks the engine to change what it has loaded. It returns once the engine has carried the order out.
	// A failure with outcome Unknown may still take effect later.
	Order(ctx context.Context, order Order) error
	// Report returns the engine's last load report, which may lag.
	Report(ctx context.Context) (Report, error)
	// CacheEvents returns prefix-cache events from sequence number from on; gaps in Seq are lost events.
	CacheEvents(ctx context.Context, from uint64) ([]CacheEvent, error)
}

// Stream is the token stream of one generation.
type Stream interface {
	// Next returns the next chunk. After the chunk with a FinishReason it returns io.EOF.
	// A stream that breaks before fails with code Truncated or ConnectionLost.
	Next() (Chunk, error)
	// Close ends the stream and cancels unfinished work.
	Close() error
}
