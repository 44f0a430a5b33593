package agent

import (
	"maps"
	"sync"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/placement"
)

// Work counts the requests in progress per target and closes targets for new ones.
// Control closes a version of a model before it unloads it and acts once the version is idle. It is safe for concurrent use.
type Work struct {
	mu     sync.Mutex
	counts map[string]int
	// served counts the requests accepted per target since the start.
	served map[string]uint64
	total  int
	closed map[string]*failure.Failure
	// allClosed refuses all new work; nil while work is accepted.
	allClosed *failure.Failure
}

// NewWork returns a register without work.
func NewWork() *Work {
	return &Work{counts: map[string]int{}, served: map[string]uint64{}, closed: map[string]*failure.Failure{}}
}

// versionTarget is the target that stands for one version of a model.
func versionTarget(key placement.Key) string { return key.Model + "@" + key.Version }

// Enter registers a request under all its targets or refuses it with outcome NotRun if one of them is closed.
// The returned function ends the request.
func (w *Work) Enter(targets ...string) (func(), error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.allClosed != nil {
		return nil, w.allClosed
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
	w.total++
	var once sync.Once
	return func() { once.Do(func() { w.leave(targets) }) }, nil
}

func (w *Work) leave(targets []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.total--
	for _, target := range targets {
		w.counts[target]--
		if w.counts[target] == 0 {
			delete(w.counts, target)
		}
	}
}

// SetRefusal refuses all new work with f, or accepts it again with nil.
func (w *Work) SetRefusal(f *failure.Failure) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.allClosed = f
}

// Close refuses new work for a target.
func (w *Work) Close(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed[target] = failure.New(failure.NotLoaded, failure.NotRun, "model is being unloaded")
}

// Open accepts work for a target again.
func (w *Work) Open(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.closed, target)
}

// Counted returns the state of the register as an event for the core.
func (w *Work) Counted() WorkCounted {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := WorkCounted{
		Counts:    maps.Clone(w.counts),
		Served:    maps.Clone(w.served),
		Total:     w.total,
		Closed:    make(map[string]bool, len(w.closed)),
		AllClosed: w.allClosed != nil,
	}
	for target := range w.closed {
		out.Closed[target] = true
	}
	return out
}
