package integration

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
)

// balancerPollInterval is the time between two checks of an entry host, well below the smallest drain grace in the tests.
const balancerPollInterval = 50 * time.Millisecond

// balancer picks entry hosts as the platform's load balancer does: by their readiness, which it learns a little late.
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
	resp, err := client.Get("http://" + e.Admin + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns the next entry host that is in the rotation.
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
