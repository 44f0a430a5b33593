package agent

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/clock"
)

// poller calls a function periodically, and at once after Wake.
type poller struct {
	clock    clock.Clock
	interval time.Duration
	poll     func(context.Context)
	wake     chan struct{}
}

func newPoller(c clock.Clock, interval time.Duration, poll func(context.Context)) *poller {
	return &poller{clock: c, interval: interval, poll: poll, wake: make(chan struct{}, 1)}
}

// Wake makes Run call the function without waiting for the interval.
func (p *poller) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run calls the function until ctx is done.
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
