package stream

import (
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/infra"
)

const (
	// DefaultPollInterval is the time between two polls.
	DefaultPollInterval = 250 * time.Millisecond
	// DefaultTailRecords is the number of recent records kept in memory for peers.
	DefaultTailRecords = 1024
	// DefaultStaleAfter is the age of the state, beyond WatchWait, from which a follower reads the log itself.
	DefaultStaleAfter = time.Second
	// DefaultLogFallbackAfter is the time without a response from the log after which peers are read. Together with a
	// poll interval and a call to an unresponsive peer it stays within the 3 s allowed for applying new
	// configuration.
	DefaultLogFallbackAfter = time.Second
	// DefaultPeerTimeout is the timeout of one call to a peer.
	DefaultPeerTimeout = time.Second
)

// FollowerConfig configures a Follower. Stream, Fold and Log are required.
type FollowerConfig struct {
	Stream string
	Fold   Fold
	Log    infra.Log
	// Peers reads the stream from other processes; nil means that only the log is read.
	Peers PeerReader
	// Hosts returns the last known host list; nil means an empty list.
	Hosts func() []infra.Host
	// Self is the name of the local host, which is never called as a peer.
	Self string
	// IsRoot reports whether the local host is a root of the relay tree and reads the log itself. Other hosts rely on a
	// Watcher as long as it keeps the state fresh. Nil means that the log is always read.
	IsRoot func() bool
	// Changes is notified when records were applied.
	Changes *Signal
	// PollInterval is the time between two polls.
	PollInterval time.Duration
	// StaleAfter, PeerTimeout and LogFallbackAfter are described at their defaults.
	StaleAfter       time.Duration
	PeerTimeout      time.Duration
	LogFallbackAfter time.Duration
	// TailRecords is the number of recent records kept in memory for peers.
	TailRecords int
	// Now returns the current time; nil means the system clock.
	Now func() time.Time
	// ConfigOffset and Lamport return values that are sent with every call to a peer; nil sends 0.
	ConfigOffset func() uint64
	Lamport      func() uint64
	// Logger receives the follower's log events; nil discards them.
	Logger *eventlog.Logger
}

func (c FollowerConfig) withDefaults() FollowerConfig {
	setDefault(&c.PollInterval, DefaultPollInterval)
	setDefault(&c.StaleAfter, DefaultStaleAfter)
	setDefault(&c.PeerTimeout, DefaultPeerTimeout)
	setDefault(&c.LogFallbackAfter, DefaultLogFallbackAfter)
	setDefault(&c.TailRecords, DefaultTailRecords)
	zero := func() uint64 { return 0 }
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Hosts == nil {
		c.Hosts = func() []infra.Host { return nil }
	}
	if c.ConfigOffset == nil {
		c.ConfigOffset = zero
	}
	if c.Lamport == nil {
		c.Lamport = zero
	}
	if c.Logger == nil {
		c.Logger = eventlog.Discard()
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
