package bench

import (
	"context"
	"sync"
	"time"
)

// generator sends arrivals at their scheduled times, each in its own goroutine, without waiting for responses.
type generator struct {
	sender    *Sender
	collector *Collector
	requests  sync.WaitGroup
}

// run starts all requests at their scheduled times. It returns when the last one is started or ctx ends.
func (g *generator) run(ctx context.Context, arrivals []Arrival) {
	for i := range arrivals {
		if !sleepUntil(ctx, g.sender.Start.Add(arrivals[i].At)) {
			return
		}
		g.send(ctx, &arrivals[i])
	}
}

func (g *generator) send(ctx context.Context, a *Arrival) {
	g.collector.CountSent()
	g.requests.Add(1)
	go func() {
		defer g.requests.Done()
		g.collector.Add(g.sender.Send(ctx, a))
	}()
}

// wait waits until every request has finished. requestTimeout limits the wait.
func (g *generator) wait() { g.requests.Wait() }

// sleepUntil sleeps until the given time. It returns false if ctx ends before.
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
