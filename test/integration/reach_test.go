package integration

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/faultproxy"
)

const (
	// reachDeadline is the time limit of a request while no model can be loaded, or while the request has to wait for a
	// load.
	reachDeadline = 10 * time.Second
	// reachLoadTime is the duration of a model load. reachImmediateDeadline is the time limit of a request while loads
	// are possible. It is shorter, so that a request meets it only if a copy stayed ready throughout the outage.
	reachLoadTime          = 4 * time.Second
	reachImmediateDeadline = 2500 * time.Millisecond
)

// outage is a loss of parts of the system during which all models must stay reachable.
type outage struct {
	name     string
	deadline time.Duration
	inject   func(t *testing.T, c *cluster.Cluster)
	heal     func(t *testing.T, c *cluster.Cluster)
}

func outages() []outage {
	ctx := context.Background()
	domain := ""
	logDown := func(t *testing.T, c *cluster.Cluster) {
		must(t, c.LogProxy.SetFaults(faultproxy.Faults{Refuse: true}))
		c.LogProxy.ResetConnections()
	}
	logUp := func(t *testing.T, c *cluster.Cluster) { must(t, c.LogProxy.SetFaults(faultproxy.Faults{})) }
	return []outage{
		{"failure domain lost", reachImmediateDeadline, func(t *testing.T, c *cluster.Cluster) {
			domain = runnersWithCopy(t, c, "alpha")[0].Spec.FailureDomain
			eachInDomain(c, domain, killRunner)
		},
			func(t *testing.T, c *cluster.Cluster) {
				eachInDomain(c, domain, func(r *cluster.Runner) {
					must(t, c.StartBackend(ctx, r))
					must(t, c.StartAgent(ctx, r))
				})
			}},
		{"new version of both models", reachImmediateDeadline, func(t *testing.T, c *cluster.Cluster) {
			must(t, c.Publish(ctx, strings.ReplaceAll(sampleConfig, "version = v1", "version = v2")))
		}, func(*testing.T, *cluster.Cluster) {}},
		{"log down", reachDeadline, logDown, logUp},
		{"log down, agents killed and restarted", reachDeadline, func(t *testing.T, c *cluster.Cluster) {
			logDown(t, c)
			for _, r := range modelRunners(c) {
				r.Agent.Kill()
				must(t, c.StartAgent(ctx, r))
			}
		}, logUp},
		// A draining runner takes no new work, so requests wait until a replacement copy is loaded.
		{"two holders drain at once", reachDeadline, func(t *testing.T, c *cluster.Cluster) {
			var wait sync.WaitGroup
			for _, r := range runnersWithCopy(t, c, "alpha") {
				wait.Go(func() {
					if out := ferryctl(t, "--log-url", c.LogURL, "--json", "drain", r.Spec.Name); out.exit != 0 {
						t.Errorf("drain of %s: exit code %d, want 0: %s", r.Spec.Name, out.exit, out.output)
					}
				})
			}
			wait.Wait()
		}, func(t *testing.T, c *cluster.Cluster) {
			for _, r := range modelRunners(c) {
				if out := ferryctl(t, "--log-url", c.LogURL, "--json", "undrain", r.Spec.Name); out.exit != 0 {
					t.Errorf("undrain of %s: exit code %d, want 0: %s", r.Spec.Name, out.exit, out.output)
				}
			}
		}},
	}
}

func killRunner(r *cluster.Runner) {
	r.Agent.Kill()
	r.Backend.Kill()
}

// eachInDomain calls act for every runner of a failure domain.
func eachInDomain(c *cluster.Cluster, domain string, act func(*cluster.Runner)) {
	for _, r := range c.Runners {
		if r.Spec.FailureDomain == domain {
			act(r)
		}
	}
}

// runnersWithCopy returns the runners with a ready copy of a model, each once, also while two versions are ready on it.
func runnersWithCopy(t *testing.T, c *cluster.Cluster, model string) []*cluster.Runner {
	t.Helper()
	var out []*cluster.Runner
	for _, r := range modelRunners(c) {
		status, err := c.AgentStatus(context.Background(), r)
		must(t, err)
		for _, m := range status.GetModels() {
			if m.GetModel() == model && m.GetState() == "ready" {
				out = append(out, r)
				break
			}
		}
	}
	return out
}

// Guards against a published model or adapter that an entry host cannot reach while parts of the system are lost.
func TestModelsStayReachable(t *testing.T) {
	spec := smallSpec()
	spec.Store.LoadTime = reachLoadTime
	c := start(t, spec)
	for _, o := range outages() {
		t.Run(o.name, func(t *testing.T) {
			o.inject(t, c)
			for range 4 {
				requireReachable(t, c, o.deadline)
				time.Sleep(500 * time.Millisecond)
			}
			o.heal(t, c)
			must(t, c.WaitReady(context.Background(), readyTimeout))
			waitCopies(t, c)
			waitCaughtUp(t, c)
		})
	}
}

// Guards against models that stay unplaced when all processes start at once and the store is slow, and against adapters
// whose loads wait until the floor copies of other models are loaded.
func TestModelsAreReachableAfterAColdStart(t *testing.T) {
	spec := smallSpec()
	spec.Store = cluster.StoreSpec{LoadsPerSecond: 2, MaxConcurrentLoads: 3, AdaptersInFlight: 24, LoadTime: time.Second}
	c := start(t, spec)
	for _, p := range c.Daemons() {
		p.Kill()
	}
	for _, r := range modelRunners(c) {
		r.Backend.Kill()
		must(t, c.StartBackend(context.Background(), r))
	}
	for _, r := range c.Runners {
		must(t, c.StartAgent(context.Background(), r))
	}
	for _, e := range c.Entries {
		must(t, c.StartEntry(context.Background(), e))
	}
	must(t, c.WaitReady(context.Background(), readyTimeout))
	// Two models with two copies each need 2 s at the store's rate of 2 loads per second and 1 s for the load itself.
	// Agents notice earlier that the engines have restarted without models.
	requireReachable(t, c, reachDeadline)
	waitCopies(t, c)
}

// requireReachable requests both models and the adapter from every entry host concurrently, and fails the test unless
// every response arrives intact within the deadline.
func requireReachable(t *testing.T, c *cluster.Cluster, deadline time.Duration) {
	t.Helper()
	var wg sync.WaitGroup
	for _, entry := range c.Entries {
		wg.Go(func() { requireResponse(t, entry, "alpha", "", deadline) })
		wg.Go(func() { requireResponse(t, entry, "beta", "", deadline) })
		wg.Go(func() { requireResponse(t, entry, "alpha", "alpha-notes", deadline) })
	}
	wg.Wait()
}
