package gateway

import (
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/routing"
)

// Tracker counts this daemon's own work at each backend server. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	servers  map[string]*serverWork
	suspects *routing.Suspects
	caches   map[string]*prefixCache
	// denied holds until when a server is not asked again for a model and adapter that it did not hold.
	denied map[string]time.Time
	// unreached holds when a connection to a server failed last.
	unreached map[string]time.Time
}

// unreachedTime is how long a failed connection is reported; it covers several reports, as one may be lost.
const unreachedTime = time.Second

// Unreached records that a connection to a server failed.
func (t *Tracker) Unreached(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreached[server] = now
}

// EachUnreached calls f for every server to which a connection failed lately.
func (t *Tracker) EachUnreached(now time.Time, f func(server string)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, at := range t.unreached {
		if now.Sub(at) > unreachedTime {
			delete(t.unreached, id)
			continue
		}
		f(id)
	}
}

// denialTime is how long a server's word counts that it does not hold a model; by then a load would be reported.
const denialTime = 2 * time.Second

func denialKey(server, model, adapter string) string { return server + "\x00" + model + "/" + adapter }

// Denied records that a server does not hold a model and adapter.
func (t *Tracker) Denied(server, model, adapter string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, until := range t.denied {
		if !now.Before(until) {
			delete(t.denied, key)
		}
	}
	t.denied[denialKey(server, model, adapter)] = now.Add(denialTime)
}

// Denies reports whether a server has recently said that it does not hold a model and adapter.
func (t *Tracker) Denies(server, model, adapter string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.denied[denialKey(server, model, adapter)])
}

// serverWork is this daemon's work at one server.
type serverWork struct {
	requests int
	// promptTokens of requests without a first token.
	promptTokens int
	load         Load
	loadAt       time.Time
}

// NewTracker returns a tracker without work.
func NewTracker() *Tracker {
	return &Tracker{servers: map[string]*serverWork{}, suspects: routing.NewSuspects(), caches: map[string]*prefixCache{},
		denied: map[string]time.Time{}, unreached: map[string]time.Time{}}
}

func (t *Tracker) work(server string) *serverWork {
	w, ok := t.servers[server]
	if !ok {
		w = &serverWork{}
		t.servers[server] = w
	}
	return w
}

// Begin accounts an attempt with the prompt tokens that the server has to process.
func (t *Tracker) Begin(server string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.work(server)
	w.requests++
	w.promptTokens += tokens
}

// FirstToken accounts that the prompt of an attempt is processed.
func (t *Tracker) FirstToken(server string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work(server).promptTokens -= tokens
}

// End accounts the end of an attempt; tokens is what FirstToken was not told.
func (t *Tracker) End(server string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.work(server)
	w.requests--
	w.promptTokens -= tokens
}

// Reported keeps the load that a server stated.
func (t *Tracker) Reported(server string, load Load, now time.Time) {
	if !load.Known {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.work(server)
	w.load, w.loadAt = load, now
}

// Failed records that a server did not answer; it reports whether the server was trusted before.
func (t *Tracker) Failed(server string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.Fail(server, now)
}

// Answered records that a server answered.
func (t *Tracker) Answered(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects.Answered(server)
	delete(t.unreached, server)
}

// Suspects returns the servers to avoid and until when.
func (t *Tracker) Suspects() map[string]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.Until()
}

// Work returns a copy of the work at a server.
func (t *Tracker) Work(server string) serverWork {
	t.mu.Lock()
	defer t.mu.Unlock()
	return *t.work(server)
}

// CachedTokens returns how many leading prompt tokens the server probably keeps.
func (t *Tracker) CachedTokens(server string, chain []prefixLink) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	cache, ok := t.caches[server]
	if !ok {
		return 0
	}
	return cache.match(chain)
}

// Remember records that the server processes the prompt.
func (t *Tracker) Remember(server string, chain []prefixLink, capacity int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cache, ok := t.caches[server]
	if !ok {
		cache = newPrefixCache(capacity)
		t.caches[server] = cache
	}
	cache.add(chain)
}

// Retain forgets servers for which known is false.
func (t *Tracker) Retain(known func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects.Retain(known)
	for id, w := range t.servers {
		if !known(id) && w.requests == 0 {
			delete(t.servers, id)
		}
	}
	for id := range t.caches {
		if !known(id) {
			delete(t.caches, id)
		}
	}
}

// Each calls f for every server with work in progress.
func (t *Tracker) Each(f func(server string, requests, promptTokens int)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, w := range t.servers {
		if w.requests > 0 {
			f(id, w.requests, w.promptTokens)
		}
	}
}
