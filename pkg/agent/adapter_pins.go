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

// NewAdapterPins returns an AdapterPins that sends its events to the core with send.
func NewAdapterPins(send func(Event)) *AdapterPins {
	return &AdapterPins{send: send, waiters: map[string]chan *failure.Failure{}}
}

// Acquire waits until the adapter is resident and pins it until the returned function is called. For an empty adapter it
// returns at once. Every failure has outcome NotRun.
func (p *AdapterPins) Acquire(ctx context.Context, request, model, adapter string) (func(), error) {
	if adapter == "" {
		return func() {}, nil
	}
	result := make(chan *failure.Failure, 1)
	p.mu.Lock()
	p.waiters[request] = result
	p.mu.Unlock()
	p.send(AdapterRequested{Request: request, Model: model, Adapter: adapter})
	select {
	case f := <-result:
		if f != nil {
			return nil, f
		}
		return func() { p.send(AdapterReleased{Request: request}) }, nil
	case <-ctx.Done():
		p.remove(request)
		p.send(AdapterReleased{Request: request})
		return nil, failure.Wrap(failure.ClientCancelled, failure.NotRun, "request was cancelled before its adapter was loaded", ctx.Err())
	}
}

// Resolve wakes a waiting request: with nil when its adapter is pinned, or with the reason why it cannot be loaded.
func (p *AdapterPins) Resolve(request string, f *failure.Failure) {
	if waiter := p.remove(request); waiter != nil {
		waiter <- f
	}
}

func (p *AdapterPins) remove(request string) chan *failure.Failure {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiter := p.waiters[request]
	delete(p.waiters, request)
	return waiter
}
