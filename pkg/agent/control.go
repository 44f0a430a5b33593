package agent

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/clock"
)

const (
	// tickInterval is the time between two ticks of the core; timers of the core are seconds.
	tickInterval = 200 * time.Millisecond
	// eventBuffer decouples senders from the control goroutine for short bursts.
	eventBuffer = 1024
)

// Control owns the core: its goroutine is the only one that calls it.
type Control struct {
	core   *Core
	clock  clock.Clock
	work   *Work
	do     func(Action)
	events chan Event
	done   chan struct{}
}

// NewControl returns a control that passes every action to do, which must not block.
func NewControl(core *Core, c clock.Clock, work *Work, do func(Action)) *Control {
	return &Control{core: core, clock: c, work: work, do: do, events: make(chan Event, eventBuffer), done: make(chan struct{})}
}

// Send passes an event to the core. After the end of Run it drops the event.
func (c *Control) Send(e Event) {
	select {
	case c.events <- e:
	case <-c.done:
	}
}

// Run feeds the core until ctx ends.
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
			c.step(c.work.Counted())
		}
	}
}

func (c *Control) step(e Event) {
	for _, a := range c.core.Step(c.clock.Now(), e) {
		c.do(a)
	}
}
