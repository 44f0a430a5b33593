package entry

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/clock"
)

// poller calls a read function in turn. Reads block on the network, so each source has a goroutine of its own
// and passes immutable results to the control loop.
type poller struct {
	read     func(ctx context.Context)
	interval time.Duration
	// poke asks for a read at once.
	poke  chan struct{}
	clock clock.Clock
}

func newPoller(read func(ctx context.Context), interval time.Duration, c clock.Clock) *poller {
	return &poller{read: read, interval: interval, poke: make(chan struct{}, 1), clock: c}
}

// wake asks for a read at once.
func (p *poller) wake() {
	select {
	case p.poke <- struct{}{}:
	default:
	}
}

// run polls until ctx ends.
func (p *poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.read(ctx)
		select {
		case <-p.clock.After(p.interval):
		case <-p.poke:
		case <-ctx.Done():
		}
	}
}
