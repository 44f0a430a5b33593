package agent

import (
	"context"
	"sync"

	"trefoilferry.example/ferry/pkg/failure"
)

// AdapterPins lets requests wait for an adapter and pin it while they use it. The core decides which adapters are loaded.
type AdapterPins struct {
	// send passes an event to the core.
	send func(Event)

	mu      sync.Mutex
	waiters map[string]chan *failure.Failure
}

// NewAdapterPins returns an Adapters that sends its events to the core with send.
func NewAdapterPins(send func(Event)) *AdapterPins {
	return &AdapterPins{send: send, waiters: map[string]chan *failure.Failure{}}
}

// Acquire waits until the adapter is resident and pins it until the returned function is called. For an empty adapter it
// returns at once. Every failure has outcome NotRun.
func (a *AdapterPins) Acquire(ctx context.Context, request, model, adapter string) (func(), error) {
	if adapter == "" {
		return func() {}, nil
	}
	answer := make(chan *failure.Failure, 1)
	a.mu.Lock()
	a.waiters[request] = answer
	a.mu.Unlock()
	a.send(AdapterRequested{Request: request, Model: model, Adapter: adapter})
	select {
	case f := <-answer:
		if f != nil {
			return nil, f
		}
		return func() { a.send(AdapterReleased{Request: request}) }, nil
	case <-ctx.Done():
		a.remove(request)
		a.send(AdapterReleased{Request: request})
		return nil, failure.Wrap(failure.ClientCancelled, failure.NotRun, "request was cancelled before its adapter was loaded", ctx.Err())
	}
}

// Resolve wakes a waiting request: with nil when its adapter is pinned, or with the reason why it cannot be loaded.
func (a *AdapterPins) Resolve(request string, f *failure.Failure) {
	if waiter := a.remove(request); waiter != nil {
		waiter <- f
	}
}

func (a *AdapterPins) remove(request string) chan *failure.Failure {
	a.mu.Lock()
	defer a.mu.Unlock()
	waiter := a.waiters[request]
	delete(a.waiters, request)
	return waiter
}
