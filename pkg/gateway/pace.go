package gateway

import "time"

// Pace holds the periods at which a daemon follows the store.
type Pace struct {
	// ConfigWait is how long the store holds a read of the configuration.
	ConfigWait time.Duration
	// ServerPeriod is the period between reads of the list of servers.
	ServerPeriod time.Duration
	// RelayAge is the age of what the holder of the lease passed on up to which the store is not read directly.
	RelayAge time.Duration
}

// Shares of the bound within which a change must be in force. The age of relayed state and the direct read after it
// leave more than a third of the bound for slow answers.
const (
	configWaitShare   = 0.28
	serverPeriodShare = 0.2
	relayAgeShare     = 0.55
)

// NewPace returns the periods for changes that must be in force within bound.
func NewPace(bound time.Duration) Pace {
	share := func(part float64) time.Duration { return time.Duration(float64(bound) * part) }
	return Pace{ConfigWait: share(configWaitShare), ServerPeriod: share(serverPeriodShare), RelayAge: share(relayAgeShare)}
}
