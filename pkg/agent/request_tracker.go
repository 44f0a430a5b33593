package agent

import (
	"maps"
	"sync"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/placement"
)

// RequestTracker counts the requests in progress per target and can close targets to new requests. The core closes a
// model version and waits until it is idle before it unloads it. It is safe for concurrent use.
type RequestTracker struct {
	mu     sync.Mutex
	counts map[string]int
	// served counts the requests accepted per target since the start.
	served   map[string]uint64
	inFlight int
	closed   map[string]*failure.Failure
	// refusal is the failure for all new requests; nil while requests are accepted.
	refusal *failure.Failure
}

// NewRequestTracker returns a tracker without requests.
func NewRequestTracker() *RequestTracker {
	return &RequestTracker{counts: map[string]int{}, served: map[string]uint64{}, closed: map[string]*failure.Failure{}}
}

// versionTarget returns the target for one version of a model.
func versionTarget(key placement.ModelKey) string { return key.Model + "@" + key.Version }

// Enter counts a request under all its targets, or refuses it with outcome NotRun if one of them is closed. The caller
// must call the returned function when the request ends.
func (t *RequestTracker) Enter(targets ...string) (func(), error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refusal != nil {
		return nil, t.refusal
	}
	for _, target := range targets {
		if f, ok := t.closed[target]; ok {
			return nil, f
		}
	}
	for _, target := range targets {
		t.counts[target]++
		t.served[target]++
	}
	t.inFlight++
	var once sync.Once
	return func() { once.Do(func() { t.leave(targets) }) }, nil
}

func (t *RequestTracker) leave(targets []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	for _, target := range targets {
		t.counts[target]--
		if t.counts[target] == 0 {
			delete(t.counts, target)
		}
	}
}

// SetRefusal makes Enter refuse all new requests with f, or accept them again if f is nil.
func (t *RequestTracker) SetRefusal(f *failure.Failure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusal = f
}

// Close refuses new requests for a target, which must be a model version.
func (t *RequestTracker) Close(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed[target] = failure.New(failure.NotLoaded, failure.NotRun, "model is being unloaded")
}

// Open accepts requests for a target again.
func (t *RequestTracker) Open(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.closed, target)
}

// Snapshot returns a snapshot of the counts as an event for the core.
func (t *RequestTracker) Snapshot() RequestsCounted {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := RequestsCounted{
		Counts:    maps.Clone(t.counts),
		Served:    maps.Clone(t.served),
		Total:     t.inFlight,
		Closed:    make(map[string]bool, len(t.closed)),
		AllClosed: t.refusal != nil,
	}
	for target := range t.closed {
		out.Closed[target] = true
	}
	return out
}
