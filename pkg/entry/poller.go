package entry

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/clock"
)

// poller calls a read function periodically. Reads block on the network, so each source has a poller goroutine of its
// own, and sends immutable results to the control loop.
type poller struct {
	read     func(ctx context.Context)
	interval time.Duration
	// wakeup triggers the next read immediately.
	wakeup chan struct{}
	clock  clock.Clock
}

func newPoller(read func(ctx context.Context), interval time.Duration, c clock.Clock) *poller {
	return &poller{read: read, interval: interval, wakeup: make(chan struct{}, 1), clock: c}
}

// wake triggers the next read immediately. It does not block.
func (p *poller) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// run polls until ctx is done.
func (p *poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.read(ctx)
		select {
		case <-p.clock.After(p.interval):
		case <-p.wakeup:
		case <-ctx.Done():
		}
	}
}
