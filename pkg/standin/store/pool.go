package store

import (
	"context"
	"sync"
	"time"
)

// slice is how often a load in progress looks at the number of other loads.
const slice = 2 * time.Millisecond

// pool shares a speed among loads: up to limit of them run at full speed, more run proportionally slower.
type pool struct {
	limit int

	mu     sync.Mutex
	active int
	peak   int
}

// work takes d at full speed, and longer while more loads than the limit are active.
func (p *pool) work(ctx context.Context, d time.Duration) error {
	p.enter()
	defer p.leave()
	last := time.Now()
	for left := float64(d); left > 0; {
		speed := p.speed()
		wait := min(time.Duration(left/speed), slice)
		if err := sleep(ctx, wait); err != nil {
			return err
		}
		now := time.Now()
		left -= float64(now.Sub(last)) * speed
		last = now
	}
	return nil
}

func (p *pool) enter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active++
	p.peak = max(p.peak, p.active)
}

func (p *pool) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active--
}

// speed is the share of full speed that each load has now.
func (p *pool) speed() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit <= 0 || p.active <= p.limit {
		return 1
	}
	return float64(p.limit) / float64(p.active)
}

func (p *pool) peakUse() int {
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
