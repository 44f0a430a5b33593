package integration

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
)

// balancerPollInterval is the time between two readiness checks of an entry host. It is well below the shortest drain
// grace that the tests set, so an entry host leaves the rotation before it closes its listener.
const balancerPollInterval = 50 * time.Millisecond

// balancer picks entry hosts like the platform's load balancer: it polls their readiness and so notices a change with a
// delay.
type balancer struct {
	entries []*cluster.Entry
	healthy []atomic.Bool
	stop    chan struct{}
	checks  sync.WaitGroup
}

func startBalancer(c *cluster.Cluster) *balancer {
	b := &balancer{entries: c.Entries, healthy: make([]atomic.Bool, len(c.Entries)), stop: make(chan struct{})}
	for i := range b.entries {
		b.healthy[i].Store(true)
		b.checks.Go(func() { b.check(i) })
	}
	return b
}

func (b *balancer) check(i int) {
	client := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-b.stop:
			return
		case <-time.After(balancerPollInterval):
			b.healthy[i].Store(isReady(client, b.entries[i]))
		}
	}
}

func isReady(client *http.Client, e *cluster.Entry) bool {
	resp, err := client.Get("http://" + e.AdminAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns the first ready entry host at or after index i, or the one at i if none is ready.
func (b *balancer) pick(i int) *cluster.Entry {
	for k := range b.entries {
		if n := (i + k) % len(b.entries); b.healthy[n].Load() {
			return b.entries[n]
		}
	}
	return b.entries[i%len(b.entries)]
}

func (b *balancer) close() {
	close(b.stop)
	b.checks.Wait()
}
