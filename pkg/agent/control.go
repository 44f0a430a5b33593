package agent

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/clock"
)

const (
	// tickInterval is the time between two ticks of the core. It is short compared with the core's timers, which run for
	// seconds.
	tickInterval = 200 * time.Millisecond
	// eventBuffer is the capacity of the event channel, so that short bursts do not block the senders.
	eventBuffer = 1024
)

// Control runs the core: Run is the only goroutine that calls it.
type Control struct {
	core     *Core
	clock    clock.Clock
	requests *RequestTracker
	execute  func(Action)
	events   chan Event
	done     chan struct{}
}

// NewControl returns a Control that passes every action to execute, which must not block.
func NewControl(core *Core, c clock.Clock, requests *RequestTracker, execute func(Action)) *Control {
	return &Control{core: core, clock: c, requests: requests, execute: execute, events: make(chan Event, eventBuffer), done: make(chan struct{})}
}

// Send passes an event to the core. It blocks while the buffer is full; after Run has returned, it drops the event.
func (c *Control) Send(e Event) {
	select {
	case c.events <- e:
	case <-c.done:
	}
}

// Run passes events and ticks to the core until ctx is done.
func (c *Control) Run(ctx context.Context) {
	defer close(c.done)
	tick := c.clock.After(tickInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			c.step(e)
		case <-tick:
			tick = c.clock.After(tickInterval)
			c.step(c.requests.Snapshot())
		}
	}
}

func (c *Control) step(e Event) {
	for _, a := range c.core.Step(c.clock.Now(), e) {
		c.execute(a)
	}
}
