package agent

import (
	"maps"
	"sync"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/placement"
)

// RequestTracker counts the requests in progress per target and can close targets to new requests. The core closes a model version
// and waits until it is idle before it unloads it. It is safe for concurrent use.
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

// NewRequestTracker returns a Work without requests.
func NewRequestTracker() *RequestTracker {
	return &RequestTracker{counts: map[string]int{}, served: map[string]uint64{}, closed: map[string]*failure.Failure{}}
}

// versionTarget returns the target for one version of a model.
func versionTarget(key placement.ModelKey) string { return key.Model + "@" + key.Version }

// Enter counts a request under all its targets, or refuses it with outcome NotRun if one of them is closed. The caller must
// call the returned function when the request ends.
func (w *RequestTracker) Enter(targets ...string) (func(), error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refusal != nil {
		return nil, w.refusal
	}
	for _, target := range targets {
		if f, ok := w.closed[target]; ok {
			return nil, f
		}
	}
	for _, target := range targets {
		w.counts[target]++
		w.served[target]++
	}
	w.inFlight++
	var once sync.Once
	return func() { once.Do(func() { w.leave(targets) }) }, nil
}

func (w *RequestTracker) leave(targets []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	for _, target := range targets {
		w.counts[target]--
		if w.counts[target] == 0 {
			delete(w.counts, target)
		}
	}
}

// SetRefusal makes Enter refuse all new requests with f, or accept them again if f is nil.
func (w *RequestTracker) SetRefusal(f *failure.Failure) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusal = f
}

// Close refuses new requests for a target, which must be a model version.
func (w *RequestTracker) Close(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed[target] = failure.New(failure.NotLoaded, failure.NotRun, "model is being unloaded")
}

// Open accepts requests for a target again.
func (w *RequestTracker) Open(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.closed, target)
}

// Snapshot returns a snapshot of the counts as an event for the core.
func (w *RequestTracker) Snapshot() RequestsCounted {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := RequestsCounted{
		Counts:    maps.Clone(w.counts),
		Served:    maps.Clone(w.served),
		Total:     w.inFlight,
		Closed:    make(map[string]bool, len(w.closed)),
		AllClosed: w.refusal != nil,
	}
	for target := range w.closed {
		out.Closed[target] = true
	}
	return out
}
