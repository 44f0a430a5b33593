package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/retry"
)

// PollTiming holds the intervals and timeouts with which a daemon polls the store.
type PollTiming struct {
	// ConfigWait is how long the store may delay the response to a long poll for the configuration.
	ConfigWait time.Duration
	// ServerInterval is the time between reads of the server list.
	ServerInterval time.Duration
	// MaxRelayAge is the age up to which state relayed by the lease holder is used without reading the store.
	MaxRelayAge time.Duration
	// MaxHolderAge is the age of the holder's own state from which it counts as lost. It is shorter than MaxRelayAge, so
	// that another daemon usually holds the lease before all of them have to read the store.
	MaxHolderAge time.Duration
	// ReadTimeout bounds a read of the store after a successful one, in addition to the time that a long poll waits.
	ReadTimeout time.Duration
	// RevokeBound is the time within which a key that was taken away must be out of force, also at a daemon that hears from
	// nobody; 0 for no bound.
	RevokeBound time.Duration
	// Quotas is how the quotas of workspaces are measured.
	Quotas QuotaBound
}

// Shares of the time within which a change must be applied. The age of relayed state, a read that times out because
// its connection hangs, the backoff after it and a second read must fit into that time together.
const (
	configWaitShare   = 0.28
	serverPeriodShare = 0.2
	holderAgeShare    = 0.33
	relayAgeShare     = 0.45
	readTimeoutShare  = 0.2
)

// fastPollFactor divides the time between reads of the server list while servers are expected to return.
const fastPollFactor = 4

// maxReadTimeout bounds the timeout for reads of a slow store, whose responses may take hundreds of times as long as
// usual.
const maxReadTimeout = 2 * time.Second

// NewPollTiming returns the intervals and timeouts with which changes are applied within bound.
func NewPollTiming(bound time.Duration) PollTiming {
	share := func(part float64) time.Duration { return time.Duration(float64(bound) * part) }
	return PollTiming{ConfigWait: share(configWaitShare), ServerInterval: share(serverPeriodShare), MaxRelayAge: share(relayAgeShare),
		MaxHolderAge: share(holderAgeShare),
		ReadTimeout:  share(readTimeoutShare)}
}

// readTimeout returns the timeout for a read after the given number of consecutive failures. It doubles, so that a slow
// store can still be read.
func (p PollTiming) readTimeout(failures int) time.Duration {
	return retry.DoublingDelay(p.ReadTimeout, maxReadTimeout, failures)
}
