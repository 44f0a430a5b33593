package bench

import (
	"context"
	"sync"
	"time"
)

// generator sends arrivals at their times, each in a goroutine of its own, and never waits for answers.
type generator struct {
	sender    *Sender
	collector *Collector
	requests  sync.WaitGroup
}

// run sends all arrivals and returns after the last one is sent, or when ctx ends.
func (g *generator) run(ctx context.Context, arrivals []Arrival) {
	for i := range arrivals {
		if !sleepUntil(ctx, g.sender.Start.Add(arrivals[i].At)) {
			return
		}
		g.send(ctx, &arrivals[i])
	}
}

func (g *generator) send(ctx context.Context, a *Arrival) {
	g.collector.Sent()
	g.requests.Add(1)
	go func() {
		defer g.requests.Done()
		g.collector.Add(g.sender.Send(ctx, a))
	}()
}

// wait returns when every request has ended; requestLimit bounds it.
func (g *generator) wait() { g.requests.Wait() }

// sleepUntil returns false when ctx ends before the time.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
