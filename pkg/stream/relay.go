package stream

import (
	"time"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/infra"
)

// RelayConfig configures a Relay.
type RelayConfig struct {
	Self          string
	FailureDomain string
	// ForceRoot makes the process a root in every case: it reads the log and the host list itself.
	ForceRoot bool
	Peers     PeerWatcher
	Clock     clock.Clock
	// ConfigOffset and Lamport return values that are sent with every call.
	ConfigOffset func() uint64
	Lamport      func() uint64
	// OnUpdate is called after a response from a parent was applied.
	OnUpdate func()
}

// Relay connects a process to the relay tree of its failure domain: a Watcher reads from parents and a WatchServer
// serves children.
type Relay struct {
	Hosts *HostCache
	// Changes is passed to the followers of the relay, which notify it.
	Changes *Signal

	cfg       RelayConfig
	confirmed *Signal
	followers map[string]*Follower
	watcher   *Watcher
}

// NewRelay returns a relay without streams.
func NewRelay(cfg RelayConfig) *Relay {
	changes := &Signal{}
	return &Relay{Hosts: &HostCache{Changes: changes}, Changes: changes, cfg: cfg, confirmed: &Signal{}, followers: map[string]*Follower{}}
}

// AddStream adds a stream. It must be called before Watcher.
func (r *Relay) AddStream(name string, f *Follower) { r.followers[name] = f }

// Watcher returns the client side, which reads from parents. Streams added after the first call are ignored.
func (r *Relay) Watcher() *Watcher {
	if r.watcher == nil {
		r.watcher = NewWatcher(WatcherConfig{Self: r.cfg.Self, FailureDomain: r.cfg.FailureDomain, ForceRoot: r.cfg.ForceRoot, Peers: r.cfg.Peers,
			Followers: r.followers, Hosts: r.Hosts, Confirmed: r.confirmed, Clock: r.cfg.Clock,
			ConfigOffset: r.cfg.ConfigOffset, Lamport: r.cfg.Lamport, OnUpdate: r.cfg.OnUpdate})
	}
	return r.watcher
}

// Server returns the server side, which responds to children.
func (r *Relay) Server() *WatchServer {
	return &WatchServer{Followers: r.followers, Hosts: r.Hosts, Changes: r.Changes, Confirmed: r.confirmed, Now: r.cfg.Clock.Now}
}

// IsRoot reports whether the local host is a root and reads the log and the host list itself. It must be called after
// Watcher.
func (r *Relay) IsRoot() bool { return r.watcher.IsRoot() }

// HostReader returns the reader of the host list, which reads the platform's list every interval while the local host
// is a root.
func (r *Relay) HostReader(list infra.HostList, interval time.Duration, publish func([]infra.Host)) *HostReader {
	return &HostReader{List: list, Cache: r.Hosts, IsRoot: r.IsRoot, Interval: interval, Now: r.cfg.Clock.Now, Publish: publish}
}
