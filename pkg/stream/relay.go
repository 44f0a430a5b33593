package stream

import (
	"time"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/infra"
)

// RelayConfig describes a process that takes part in the relay tree of its failure domain.
type RelayConfig struct {
	Self          string
	FailureDomain string
	// Alone makes the process read the log and the host list in every case.
	Alone bool
	Peers PeerWatcher
	Clock clock.Clock
	// ConfigOffset and Lamport are sent with every call.
	ConfigOffset func() uint64
	Lamport      func() uint64
	// Updated is called after an answer of a parent was applied.
	Updated func()
}

// Relay joins the reading and the serving part of a process in the relay tree.
type Relay struct {
	Hosts *HostCache
	// Changes is given to the followers.
	Changes *Signal

	cfg       RelayConfig
	renewals  *Signal
	followers map[string]*Follower
	watcher   *Watcher
}

// NewRelay returns a relay without streams.
func NewRelay(cfg RelayConfig) *Relay {
	changes := &Signal{}
	return &Relay{Hosts: &HostCache{Changes: changes}, Changes: changes, cfg: cfg, renewals: &Signal{}, followers: map[string]*Follower{}}
}

// Add takes up a stream before Watcher is called.
func (r *Relay) Add(name string, f *Follower) { r.followers[name] = f }

// Watcher returns the reading part; the streams are those added before the first call.
func (r *Relay) Watcher() *Watcher {
	if r.watcher == nil {
		r.watcher = NewWatcher(WatcherConfig{Self: r.cfg.Self, FailureDomain: r.cfg.FailureDomain, Alone: r.cfg.Alone, Peers: r.cfg.Peers,
			Followers: r.followers, Hosts: r.Hosts, Renewals: r.renewals, Clock: r.cfg.Clock,
			ConfigOffset: r.cfg.ConfigOffset, Lamport: r.cfg.Lamport, Updated: r.cfg.Updated})
	}
	return r.watcher
}

// Server returns the serving part.
func (r *Relay) Server() *WatchServer {
	return &WatchServer{Followers: r.followers, Hosts: r.Hosts, Changes: r.Changes, Renewals: r.renewals, Now: r.cfg.Clock.Now}
}

// Root reports whether the own host reads the log and the host list. It is called after Watcher.
func (r *Relay) Root() bool { return r.watcher.Root() }

// Reader returns the reader of the host list, which polls the platform every interval while the own host is a root.
func (r *Relay) Reader(list infra.HostList, interval time.Duration, publish func([]infra.Host)) *HostReader {
	return &HostReader{List: list, Cache: r.Hosts, Root: r.Root, Interval: interval, Now: r.cfg.Clock.Now, Publish: publish}
}
