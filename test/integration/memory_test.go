package integration

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/standin/faults"
)

// memoryFault is a fault that is injected in every step of the churn.
type memoryFault struct {
	name   string
	inject func(t *testing.T, c *cluster.Cluster, step int)
	heal   func(t *testing.T, c *cluster.Cluster)
}

func memoryFaults() []memoryFault {
	noHeal := func(*testing.T, *cluster.Cluster) {}
	engineFault := func(s faults.Switches) func(*testing.T, *cluster.Cluster, int) {
		return func(t *testing.T, c *cluster.Cluster, _ int) { setAllEngines(t, c, s) }
	}
	clearFaults := func(t *testing.T, c *cluster.Cluster) { setAllEngines(t, c, faults.Switches{}) }
	return []memoryFault{
		{"no fault", func(*testing.T, *cluster.Cluster, int) {}, noHeal},
		{"orders lost", engineFault(faults.Switches{DropOrder: 2}), clearFaults},
		{"orders late", engineFault(faults.Switches{DelayOrderMillis: 400}), clearFaults},
		{"responses to orders lost", engineFault(faults.Switches{LoseAnswerAfterEffect: 1}), clearFaults},
		{"agents killed before the response", func(t *testing.T, c *cluster.Cluster, step int) {
			setAllEngines(t, c, faults.Switches{DelayOrderMillis: 400})
			time.Sleep(300 * time.Millisecond)
			killAgents(t, c, step)
		}, clearFaults},
		{"agents paused and replaced", func(t *testing.T, c *cluster.Cluster, step int) {
			setAllEngines(t, c, faults.Switches{DelayOrderMillis: 400})
			time.Sleep(300 * time.Millisecond)
			replacePausedAgents(t, c, step)
		}, clearFaults},
	}
}

// killAgents kills and restarts the agents of every second engine. The step decides which half that is.
func killAgents(t *testing.T, c *cluster.Cluster, step int) {
	for i, r := range modelRunners(c) {
		if (i+step)%2 == 0 {
			r.Agent.Kill()
			must(t, c.StartAgent(context.Background(), r))
		}
	}
}

// replacePausedAgents pauses the agents of every third engine, two in all, and starts their successors. The paused agents
// resume 700 ms later.
func replacePausedAgents(t *testing.T, c *cluster.Cluster, step int) {
	for i, r := range modelRunners(c) {
		if (i+step)%3 != 0 {
			continue
		}
		r.Agent.Pause()
		predecessor, err := c.StartSuccessor(context.Background(), r)
		must(t, err)
		time.AfterFunc(700*time.Millisecond, predecessor.Resume)
	}
}

// memorySpec returns a system whose engines take long enough to load a model for a fault to occur meanwhile, and whose
// reports lag by 200 ms. Half of the engines ignore fencing tokens.
func memorySpec() cluster.Spec {
	spec := smallSpec()
	spec.Store = cluster.StoreSpec{LoadsPerSecond: 20, MaxConcurrentLoads: 6, AdaptersInFlight: 24, LoadTime: 100 * time.Millisecond}
	for i := range spec.Runners {
		if spec.Runners[i].Service == "" {
			spec.Runners[i].BackendArgs = append([]string{"--report-lag", "200ms"}, engineArgs...)
		}
	}
	return spec
}

// Guards against accelerator memory that is committed beyond its size while placements change and orders are lost, late,
// sent twice or sent by an agent that was replaced.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	c := start(t, memorySpec())
	for i, fault := range memoryFaults() {
		t.Run(fault.name, func(t *testing.T) {
			before := totalCounters(t, c)
			churn(t, c, i*churnSteps, func(step int) { fault.inject(t, c, step) })
			fault.heal(t, c)
			must(t, c.WaitReady(context.Background(), readyTimeout))
			err := c.WaitFor(context.Background(), placementTimeout, "every model has a ready copy of its version", func() bool {
				return churnModelsReady(c, (i+1)*churnSteps-1)
			})
			if err != nil {
				out, _ := c.RunFerryctl(context.Background(), "placements")
				t.Errorf("placement after the churn: %v\n%s", err, out)
			}
			checkMemory(t, c)
			if loaded := totalCounters(t, c).Loads - before.Loads; loaded < churnSteps {
				t.Errorf("models loaded during the churn: %d, want at least %d", loaded, churnSteps)
			}
		})
	}
}
