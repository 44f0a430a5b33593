package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/retry"
)

// Pace holds the periods at which a daemon follows the store.
type Pace struct {
	// ConfigWait is how long the store holds a read of the configuration.
	ConfigWait time.Duration
	// ServerPeriod is the period between reads of the list of servers.
	ServerPeriod time.Duration
	// RelayAge is the age of what the holder of the lease passed on up to which the store is not read directly.
	RelayAge time.Duration
	// ReadTimeout bounds the first read of the store after a successful one, beyond the time that it may wait.
	ReadTimeout time.Duration
}

// Shares of the bound within which a change must be in force. The age of relayed state, a read over a connection that
// went silent, the pause after it and a second read fit into the bound together.
const (
	configWaitShare   = 0.28
	serverPeriodShare = 0.2
	relayAgeShare     = 0.45
	readTimeoutShare  = 0.2
)

// hurryFactor shortens the period between reads of the list of servers while servers are expected to return.
const hurryFactor = 4

// readTimeoutLimit bounds the reads of a store that is slow; its answers may take hundreds of times as long as usual.
const readTimeoutLimit = 2 * time.Second

// NewPace returns the periods for changes that must be in force within bound.
func NewPace(bound time.Duration) Pace {
	share := func(part float64) time.Duration { return time.Duration(float64(bound) * part) }
	return Pace{ConfigWait: share(configWaitShare), ServerPeriod: share(serverPeriodShare), RelayAge: share(relayAgeShare),
		ReadTimeout: share(readTimeoutShare)}
}

// readTimeout returns the time for a read after the given number of failed ones. It doubles, so that a slow store is
// read as well.
func (p Pace) readTimeout(failures int) time.Duration {
	return retry.Doubling(p.ReadTimeout, readTimeoutLimit, failures)
}
