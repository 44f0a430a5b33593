package stream

import (
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/infra"
)

const (
	// DefaultPollInterval is the pause between two rounds.
	DefaultPollInterval = 250 * time.Millisecond
	// DefaultKeepRecords is the length of the tail kept for peers.
	DefaultKeepRecords = 1024
	// DefaultStaleAfter is the age beyond WatchWait at which the log is read directly.
	DefaultStaleAfter = time.Second
	// DefaultLogPatience is the time without an answer of the log after which peers are asked. With a poll interval and a
	// call to a silent peer it stays within the 3 s for new configuration.
	DefaultLogPatience = time.Second
	// DefaultPeerTimeout bounds one call to a peer.
	DefaultPeerTimeout = time.Second
)

// FollowerConfig holds the parts of a follower. Stream, Fold and Log are required.
type FollowerConfig struct {
	Stream string
	Fold   Fold
	Log    infra.Log
	// Peers reads from other processes; nil reads the log only.
	Peers PeerReader
	// Hosts returns the last known host list; nil means none.
	Hosts func() []infra.Host
	// Self is the name of the own host, which is never asked.
	Self string
	// Root reports whether the own host reads the log itself; others leave it to a Watcher while that keeps the state
	// fresh. Nil always reads the log.
	Root func() bool
	// Changes is notified when records were applied.
	Changes *Signal
	// PollInterval is the pause between two rounds.
	PollInterval time.Duration
	StaleAfter   time.Duration
	PeerTimeout  time.Duration
	LogPatience  time.Duration
	// KeepRecords is the length of the tail kept for peers.
	KeepRecords int
	// Now tells the time; nil means the system clock.
	Now func() time.Time
	// ConfigOffset and Lamport are sent with every call to a peer; nil sends 0.
	ConfigOffset func() uint64
	Lamport      func() uint64
	// Logger receives the events of the follower; nil discards them.
	Logger *eventlog.Logger
}

func (c FollowerConfig) withDefaults() FollowerConfig {
	setDefault(&c.PollInterval, DefaultPollInterval)
	setDefault(&c.StaleAfter, DefaultStaleAfter)
	setDefault(&c.PeerTimeout, DefaultPeerTimeout)
	setDefault(&c.LogPatience, DefaultLogPatience)
	setDefault(&c.KeepRecords, DefaultKeepRecords)
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
