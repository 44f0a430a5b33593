package agent

import (
	"context"
	"sync"

	"trefoilferry.example/ferry/pkg/failure"
)

// Adapters lets traffic goroutines wait for adapters that control loads.
type Adapters struct {
	// send passes an event to control.
	send func(Event)

	mu      sync.Mutex
	waiters map[string]chan *failure.Failure
}

// NewAdapters returns a waiting room that sends its events to control.
func NewAdapters(send func(Event)) *Adapters {
	return &Adapters{send: send, waiters: map[string]chan *failure.Failure{}}
}

// Acquire waits until the adapter is resident and keeps it there until the returned function is called.
// An empty adapter needs nothing. Every failure has outcome NotRun.
func (a *Adapters) Acquire(ctx context.Context, request, model, adapter string) (func(), error) {
	if adapter == "" {
		return func() {}, nil
	}
	answer := make(chan *failure.Failure, 1)
	a.mu.Lock()
	a.waiters[request] = answer
	a.mu.Unlock()
	a.send(AdapterWanted{Request: request, Model: model, Adapter: adapter})
	select {
	case f := <-answer:
		if f != nil {
			return nil, f
		}
		return func() { a.send(AdapterDropped{Request: request}) }, nil
	case <-ctx.Done():
		a.remove(request)
		a.send(AdapterDropped{Request: request})
		return nil, failure.Wrap(failure.ClientCancelled, failure.NotRun, "request was given up before its adapter was loaded", ctx.Err())
	}
}

// Answer passes the verdict of control to a waiting request.
func (a *Adapters) Answer(request string, f *failure.Failure) {
	if waiter := a.remove(request); waiter != nil {
		waiter <- f
	}
}

func (a *Adapters) remove(request string) chan *failure.Failure {
	a.mu.Lock()
	defer a.mu.Unlock()
	waiter := a.waiters[request]
	delete(a.waiters, request)
	return waiter
}
