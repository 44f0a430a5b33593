package gateway

import (
	"maps"
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/routing"
	"trefoilferry.example/ferry/pkg/serverspeed"
)

// Tracker holds what this daemon knows about each backend server from its own requests: work in flight, reported load,
// failures and cached prompts. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	servers  map[string]*serverWork
	suspects *routing.Suspects
	caches   map[string]*prefixCache
	// notLoadedUntil holds, by notLoadedKey, until when a server gets no requests for a model and adapter because it
	// refused one.
	notLoadedUntil map[string]time.Time
	// unreachedAt holds when a connection to a server last failed.
	unreachedAt map[string]time.Time
	// started holds the start times of the incarnations to which the records belong, in Unix milliseconds.
	started map[string]int64
	// speeds is what is known of the speed of the servers; it has its own lock.
	speeds *serverspeed.Table
}

// unreachedReportTime is how long a failed connection is reported to the coordinator; it covers several reports,
// because one may be lost.
const unreachedReportTime = time.Second

// RecordUnreached records that a connection to a server failed, for EachUnreached.
func (t *Tracker) RecordUnreached(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachedAt[server] = now
}

// EachUnreached calls f for every server to which a connection failed within unreachedReportTime.
func (t *Tracker) EachUnreached(now time.Time, f func(server string)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, at := range t.unreachedAt {
		if now.Sub(at) > unreachedReportTime {
			delete(t.unreachedAt, id)
			continue
		}
		f(id)
	}
}

// notLoadedTTL is how long a server gets no requests for a model that it refused; within that time a load is reported.
const notLoadedTTL = 2 * time.Second

func notLoadedKey(server, model, adapter string) string {
	return server + "\x00" + model + "/" + adapter
}

// RecordNotLoaded records that a server refused a request because it has not loaded the model and adapter.
func (t *Tracker) RecordNotLoaded(server, model, adapter string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, until := range t.notLoadedUntil {
		if !now.Before(until) {
			delete(t.notLoadedUntil, key)
		}
	}
	t.notLoadedUntil[notLoadedKey(server, model, adapter)] = now.Add(notLoadedTTL)
}

// NotLoaded reports whether a server has refused requests for a model and adapter within notLoadedTTL.
func (t *Tracker) NotLoaded(server, model, adapter string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.notLoadedUntil[notLoadedKey(server, model, adapter)])
}

// serverWork is this daemon's work in flight at one server, and the load that the server last reported.
type serverWork struct {
	requests int
	// promptTokens is the sum over the requests without a first token.
	promptTokens int
	load         Load
	// loadAt is when load was reported.
	loadAt time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{servers: map[string]*serverWork{}, suspects: routing.NewSuspects(), caches: map[string]*prefixCache{},
		notLoadedUntil: map[string]time.Time{}, unreachedAt: map[string]time.Time{}, started: map[string]int64{}, speeds: serverspeed.NewTable(startingRates)}
}

func (t *Tracker) work(server string) *serverWork {
	w, ok := t.servers[server]
	if !ok {
		w = &serverWork{}
		t.servers[server] = w
	}
	return w
}

// BeginAttempt adds an attempt with the number of prompt tokens that the server has to process.
func (t *Tracker) BeginAttempt(server string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.work(server)
	w.requests++
	w.promptTokens += tokens
}

// RecordFirstToken removes the prompt tokens of an attempt, because the server has processed its prompt.
func (t *Tracker) RecordFirstToken(server string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work(server).promptTokens -= tokens
}

// EndAttempt removes an attempt. tokens is its number of prompt tokens, or 0 if RecordFirstToken was called for it.
func (t *Tracker) EndAttempt(server string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.work(server)
	w.requests--
	w.promptTokens -= tokens
}

// RecordLoad records the load that a server reported; unknown loads are ignored.
func (t *Tracker) RecordLoad(server string, load Load, now time.Time) {
	if !load.Known {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.work(server)
	w.load, w.loadAt = load, now
}

// RecordFailure records that a server did not respond; it reports whether the server was not suspected before.
func (t *Tracker) RecordFailure(server string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.RecordFailure(server, now)
}

// RecordResponse records that a server responded, which clears its suspicion.
func (t *Tracker) RecordResponse(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects.Clear(server)
	delete(t.unreachedAt, server)
}

// Suspects returns until when each suspected server is avoided.
func (t *Tracker) Suspects() map[string]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.Until()
}

// Work returns a copy of this daemon's work in flight at a server.
func (t *Tracker) Work(server string) serverWork {
	t.mu.Lock()
	defer t.mu.Unlock()
	return *t.work(server)
}

// CachedTokens returns the number of leading prompt tokens that the server has probably cached.
func (t *Tracker) CachedTokens(server string, chain []prefixLink) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	cache, ok := t.caches[server]
	if !ok {
		return 0
	}
	return cache.match(chain)
}

// RecordPrompt records that the server processes the prompt and so caches its parts. capacity is that of the server's
// cache, in tokens.
func (t *Tracker) RecordPrompt(server string, chain []prefixLink, capacity int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cache, ok := t.caches[server]
	if !ok {
		cache = newPrefixCache(capacity)
		t.caches[server] = cache
	}
	cache.add(chain)
}

// Retain removes what is recorded of servers that are not listed, and of earlier incarnations of those that are, except
// their requests in flight.
func (t *Tracker) Retain(servers map[string]fleet.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.speeds.Retain(func(id string) (int64, bool) { s, ok := servers[id]; return s.StartMillis, ok })
	for id := range servers {
		born := servers[id].StartMillis
		if before, ok := t.started[id]; ok && before != born {
			t.forget(id)
		}
		t.started[id] = born
	}
	known := func(id string) bool { _, ok := servers[id]; return ok }
	t.suspects.Retain(known)
	for id, w := range t.servers {
		if !known(id) && w.requests == 0 {
			delete(t.servers, id)
		}
	}
	maps.DeleteFunc(t.caches, func(id string, _ *prefixCache) bool { return !known(id) })
	maps.DeleteFunc(t.started, func(id string, _ int64) bool { return !known(id) })
}

// forget removes what is recorded of an earlier incarnation of a server.
func (t *Tracker) forget(id string) {
	t.suspects.Clear(id)
	delete(t.caches, id)
	delete(t.unreachedAt, id)
	t.work(id).load = Load{}
}

// EachActive calls f for every server with requests in flight.
func (t *Tracker) EachActive(f func(server string, requests, promptTokens int)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, w := range t.servers {
		if w.requests > 0 {
			f(id, w.requests, w.promptTokens)
		}
	}
}
