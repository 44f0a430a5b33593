package store

import (
	"context"
	"sync"
	"time"
)

// recheckInterval is the longest time a load proceeds at one speed before it re-reads the number of active loads.
const recheckInterval = 2 * time.Millisecond

// pool simulates the shared bandwidth of the store: up to limit loads run at full speed, more loads are slowed down in
// proportion. A limit of 0 means unlimited.
type pool struct {
	limit int

	mu     sync.Mutex
	active int
	peak   int
}

// simulateLoad blocks for the time of a load that takes d at full speed. It returns the error of ctx if that is done
// first.
func (p *pool) simulateLoad(ctx context.Context, d time.Duration) error {
	p.begin()
	defer p.end()
	last := time.Now()
	for left := float64(d); left > 0; {
		speed := p.speed()
		wait := min(time.Duration(left/speed), recheckInterval)
		if err := sleep(ctx, wait); err != nil {
			return err
		}
		now := time.Now()
		left -= float64(now.Sub(last)) * speed
		last = now
	}
	return nil
}

func (p *pool) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active++
	p.peak = max(p.peak, p.active)
}

func (p *pool) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active--
}

// speed returns the current speed of each load as a fraction of full speed.
func (p *pool) speed() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit <= 0 || p.active <= p.limit {
		return 1
	}
	return float64(p.limit) / float64(p.active)
}

// peakActive returns the largest number of loads active at the same time so far.
func (p *pool) peakActive() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
