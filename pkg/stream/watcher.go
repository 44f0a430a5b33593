package stream

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
)

const (
	// WatchWait is the longest time for which a parent delays its response while there is no update. It bounds the age
	// of the data in an idle system.
	WatchWait = time.Second
	// watchResponseMargin is the additional time allowed for a response before the parent counts as unresponsive.
	watchResponseMargin = 500 * time.Millisecond
	// parentRetryDelay is the pause after all parents have failed once.
	parentRetryDelay = 250 * time.Millisecond
)

// PeerWatcher waits for updates from another daemon (long poll).
type PeerWatcher interface {
	// Watch calls Peer.Watch at address (IP:port). Errors are failures with code PeerUnavailable.
	Watch(ctx context.Context, address string, req *ferrypb.WatchRequest) (*ferrypb.WatchResponse, error)
}

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	// Self and FailureDomain are the name and failure domain of the local host.
	Self          string
	FailureDomain string
	// ForceRoot makes the local host a root in every case.
	ForceRoot bool
	Peers     PeerWatcher
	Followers map[string]*Follower
	Hosts     *HostCache
	// Confirmed is notified after every response from a parent with fresh data.
	Confirmed *Signal
	Clock     clock.Clock
	// ConfigOffset and Lamport return values that are sent with every call.
	ConfigOffset func() uint64
	Lamport      func() uint64
	// OnUpdate is called after a response was applied.
	OnUpdate func()
}

// Watcher reads streams and the host list from a parent in the relay tree. One goroutine calls Run or WatchOnce.
type Watcher struct {
	cfg WatcherConfig
	// names are the stream names, sorted.
	names       []string
	parentIndex int
	cached      atomic.Pointer[cachedPosition]
}

// cachedPosition is a position with the hash of the host list from which it was computed.
type cachedPosition struct {
	TreePosition
	hash uint64
}

// NewWatcher returns a watcher for the given configuration.
func NewWatcher(cfg WatcherConfig) *Watcher {
	return &Watcher{cfg: cfg, names: slices.Sorted(maps.Keys(cfg.Followers))}
}

// IsRoot reports whether the local host is a root and reads the log and the host list itself. It is safe for
// concurrent use.
func (w *Watcher) IsRoot() bool { return w.position().IsRoot }

func (w *Watcher) position() TreePosition {
	if w.cfg.ForceRoot {
		return TreePosition{IsRoot: true}
	}
	hash := w.cfg.Hosts.Hash()
	if p := w.cached.Load(); p != nil && p.hash == hash {
		return p.TreePosition
	}
	p := &cachedPosition{TreePosition: TreePositionOf(w.cfg.Self, w.cfg.FailureDomain, w.cfg.Hosts.Hosts()), hash: hash}
	w.cached.Store(p)
	return p.TreePosition
}

// Run reads from the parents until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if w.canWatch() && w.WatchOnce(ctx, WatchWait) {
			failures = 0
			continue
		}
		w.parentIndex++
		failures++
		if failures%rootsPerDomain == 0 || !w.canWatch() {
			w.waitBeforeRetry(ctx)
		}
	}
}

// canWatch reports whether there is a parent to read from and every stream has caught up, so that a parent's records
// can continue it.
func (w *Watcher) canWatch() bool {
	if w.IsRoot() {
		return false
	}
	for _, f := range w.cfg.Followers {
		if !f.CaughtUp() {
			return false
		}
	}
	return true
}

func (w *Watcher) waitBeforeRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.cfg.Clock.After(parentRetryDelay):
	}
}

// WatchOnce makes one call and reports whether the parent returned fresh data.
func (w *Watcher) WatchOnce(ctx context.Context, wait time.Duration) bool {
	parents := w.position().Parents
	if len(parents) == 0 {
		return false
	}
	parent := parents[w.parentIndex%len(parents)]
	ctx, cancel := context.WithTimeout(ctx, wait+watchResponseMargin)
	defer cancel()
	began := w.cfg.Clock.Now()
	before := w.progress()
	res, err := w.cfg.Peers.Watch(ctx, parent.Address, w.request(wait))
	if err != nil {
		return false
	}
	fresh := w.apply(res)
	w.cfg.OnUpdate()
	if fresh {
		w.cfg.Confirmed.Notify()
	}
	// A response without progress in the first half of the wait counts as a failure; otherwise the call would be
	// made again at once.
	early := w.cfg.Clock.Now().Sub(began) < wait/2 && w.progress() == before
	return fresh && !early
}

// progress returns a value that changes whenever an offset or the host list advances.
func (w *Watcher) progress() uint64 {
	sum := w.cfg.Hosts.Hash()
	for _, f := range w.cfg.Followers {
		sum += f.Offset()
	}
	return sum
}

func (w *Watcher) request(wait time.Duration) *ferrypb.WatchRequest {
	req := &ferrypb.WatchRequest{WaitMillis: uint32(wait.Milliseconds()), Hosts: true, HostsHash: w.cfg.Hosts.Hash(),
		ConfigOffset: w.cfg.ConfigOffset(), Lamport: w.cfg.Lamport()}
	for _, name := range w.names {
		req.Streams = append(req.Streams, &ferrypb.StreamCursor{Stream: name, From: w.cfg.Followers[name].Offset() + 1})
	}
	return req
}

// apply applies a response and reports whether all streams are fresh.
func (w *Watcher) apply(res *ferrypb.WatchResponse) bool {
	fresh := len(res.Streams) == len(w.names)
	for _, u := range res.Streams {
		f, ok := w.cfg.Followers[u.Stream]
		if ok && u.Answer != nil {
			fresh = f.applyResponse(u.Answer) && fresh
		}
	}
	w.cfg.Hosts.apply(res.Hosts, w.cfg.Clock.Now())
	return fresh
}
