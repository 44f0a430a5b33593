package gateway

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// ConfigSource reads the operators' configuration.
type ConfigSource interface {
	// Next waits for a configuration newer than the last one returned, for at most the given time, and returns nil if
	// there is none. Errors are of type *failure.Failure.
	Next(ctx context.Context, wait time.Duration) (*fleet.Config, error)
}

// ServerSource reads the reports of backend servers.
type ServerSource interface {
	// Next returns the changes since the last call. Errors are of type *failure.Failure.
	Next(ctx context.Context) (ServerChanges, error)
	// Restart makes the next call of Next return a complete list. It is called when the lease holder has relayed changes
	// in the meantime: reading them again would bring back servers that have been removed.
	Restart()
}
