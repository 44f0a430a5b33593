package gateway

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// ConfigSource delivers the operators' configuration.
type ConfigSource interface {
	// Next waits for a configuration newer than the last one, for at most the given time.
	// It returns nil when there is none. Errors are failures of package failure.
	Next(ctx context.Context, wait time.Duration) (*fleet.Config, error)
}

// ServerSource delivers the reports of backend servers.
type ServerSource interface {
	// Next returns what has changed since the last call. Errors are failures of package failure.
	Next(ctx context.Context) (ServerChanges, error)
	// Restart makes the next call return a complete list. It is called when changes were learned elsewhere meanwhile:
	// replaying them would bring back servers that are gone.
	Restart()
}
