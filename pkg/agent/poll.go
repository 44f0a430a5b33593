package agent

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/clock"
)

// poller calls a function at an interval, and at once when woken.
type poller struct {
	clock    clock.Clock
	interval time.Duration
	poll     func(context.Context)
	wake     chan struct{}
}

func newPoller(c clock.Clock, interval time.Duration, poll func(context.Context)) *poller {
	return &poller{clock: c, interval: interval, poll: poll, wake: make(chan struct{}, 1)}
}

// Wake asks for a call at once.
func (p *poller) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run polls until ctx ends.
func (p *poller) Run(ctx context.Context) {
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-p.clock.After(p.interval):
		}
	}
}
