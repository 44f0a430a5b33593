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
	// WatchWait is the time for which a parent holds a call. It bounds the age of the data in an idle system.
	WatchWait = time.Second
	// watchGrace is what an answer may take beyond the wait before the parent counts as silent.
	watchGrace = 500 * time.Millisecond
	// watchPause follows a round of failed parents.
	watchPause = 250 * time.Millisecond
)

// PeerWatcher waits at another process of the system for something new.
type PeerWatcher interface {
	// Watch calls Peer.Watch at an IP address and port. Errors are failures with code PeerUnavailable.
	Watch(ctx context.Context, address string, req *ferrypb.WatchRequest) (*ferrypb.WatchResponse, error)
}

// WatcherConfig holds the parts of a Watcher.
type WatcherConfig struct {
	// Self and FailureDomain are the own host's.
	Self          string
	FailureDomain string
	// Alone makes the own host a root in every case.
	Alone     bool
	Peers     PeerWatcher
	Followers map[string]*Follower
	Hosts     *HostCache
	// Renewals is notified after every answer of a fresh parent.
	Renewals *Signal
	Clock    clock.Clock
	// ConfigOffset and Lamport are sent with every call.
	ConfigOffset func() uint64
	Lamport      func() uint64
	// Updated is called after an answer was applied.
	Updated func()
}

// Watcher reads several streams and the host list from a parent in the relay tree. One goroutine calls Run or Round.
type Watcher struct {
	cfg WatcherConfig
	// names are the streams in a fixed order.
	names  []string
	parent int
	place  atomic.Pointer[placedBy]
}

// placedBy is a place with the hash of the host list that it follows from.
type placedBy struct {
	Place
	hash uint64
}

// NewWatcher returns a watcher that has not read yet.
func NewWatcher(cfg WatcherConfig) *Watcher {
	return &Watcher{cfg: cfg, names: slices.Sorted(maps.Keys(cfg.Followers))}
}

// Root reports whether the own host reads the log and the host list itself. It is safe for concurrent use.
func (w *Watcher) Root() bool { return w.currentPlace().Root }

func (w *Watcher) currentPlace() Place {
	if w.cfg.Alone {
		return Place{Root: true}
	}
	hash := w.cfg.Hosts.Hash()
	if p := w.place.Load(); p != nil && p.hash == hash {
		return p.Place
	}
	p := &placedBy{Place: PlaceOf(w.cfg.Self, w.cfg.FailureDomain, w.cfg.Hosts.Hosts()), hash: hash}
	w.place.Store(p)
	return p.Place
}

// Run reads from the parents until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	failed := 0
	for ctx.Err() == nil {
		if w.ready() && w.Round(ctx, WatchWait) {
			failed = 0
			continue
		}
		w.parent++
		failed++
		if failed%roots == 0 || !w.ready() {
			w.pause(ctx)
		}
	}
}

// ready reports whether there is a parent and a state that it can continue.
func (w *Watcher) ready() bool {
	if w.Root() {
		return false
	}
	for _, f := range w.cfg.Followers {
		if !f.CaughtUp() {
			return false
		}
	}
	return true
}

func (w *Watcher) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.cfg.Clock.After(watchPause):
	}
}

// Round makes one call and reports whether the parent gave fresh data.
func (w *Watcher) Round(ctx context.Context, wait time.Duration) bool {
	parents := w.currentPlace().Parents
	if len(parents) == 0 {
		return false
	}
	parent := parents[w.parent%len(parents)]
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	began := w.cfg.Clock.Now()
	before := w.state()
	res, err := w.cfg.Peers.Watch(ctx, parent.Address, w.request(wait))
	if err != nil {
		return false
	}
	fresh := w.apply(res)
	w.cfg.Updated()
	if fresh {
		w.cfg.Renewals.Notify()
	}
	// An answer before half of the wait that brings nothing would otherwise be asked for again at once.
	early := w.cfg.Clock.Now().Sub(began) < wait/2 && w.state() == before
	return fresh && !early
}

// state is a sum of offsets and list that changes with every progress.
func (w *Watcher) state() uint64 {
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

// apply applies an answer and reports whether all streams are fresh.
func (w *Watcher) apply(res *ferrypb.WatchResponse) bool {
	fresh := len(res.Streams) == len(w.names)
	for _, u := range res.Streams {
		f, ok := w.cfg.Followers[u.Stream]
		if ok && u.Answer != nil {
			fresh = f.takeAnswer(u.Answer) && fresh
		}
	}
	w.cfg.Hosts.apply(res.Hosts, w.cfg.Clock.Now())
	return fresh
}
