package integration

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/standin/faults"
)

// memoryFault is injected between the steps of the churn.
type memoryFault struct {
	name   string
	inject func(t *testing.T, c *cluster.Cluster, step int)
	heal   func(t *testing.T, c *cluster.Cluster)
}

func memoryFaults() []memoryFault {
	none := func(*testing.T, *cluster.Cluster) {}
	engineFault := func(s faults.Switches) func(*testing.T, *cluster.Cluster, int) {
		return func(t *testing.T, c *cluster.Cluster, _ int) { setAllEngines(t, c, s) }
	}
	clear := func(t *testing.T, c *cluster.Cluster) { setAllEngines(t, c, faults.Switches{}) }
	return []memoryFault{
		{"no fault", func(*testing.T, *cluster.Cluster, int) {}, none},
		{"orders lost", engineFault(faults.Switches{DropOrder: 2}), clear},
		{"orders late", engineFault(faults.Switches{DelayOrderMillis: 400}), clear},
		{"answers of orders lost", engineFault(faults.Switches{LoseAnswerAfterEffect: 1}), clear},
		{"agents killed before the answer", func(t *testing.T, c *cluster.Cluster, step int) {
			setAllEngines(t, c, faults.Switches{DelayOrderMillis: 400})
			time.Sleep(300 * time.Millisecond)
			killAgents(t, c, step)
		}, clear},
		{"agents paused and succeeded", func(t *testing.T, c *cluster.Cluster, step int) {
			setAllEngines(t, c, faults.Switches{DelayOrderMillis: 400})
			time.Sleep(300 * time.Millisecond)
			replacePausedAgents(t, c, step)
		}, clear},
	}
}

// killAgents kills and restarts the agents of every other engine.
func killAgents(t *testing.T, c *cluster.Cluster, step int) {
	for i, r := range modelRunners(c) {
		if (i+step)%2 == 0 {
			r.Agent.Kill()
			must(t, c.StartAgent(context.Background(), r))
		}
	}
}

// replacePausedAgents starts successors of two paused agents, which go on some time later.
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

// memorySpec has engines whose load takes long enough for faults to hit it and whose reports lag. Half of them ignore
// fencing numbers.
func memorySpec() cluster.Spec {
	spec := smallSpec()
	spec.Store = cluster.StoreSpec{LoadsPerSecond: 20, Concurrent: 6, AdaptersInFlight: 24, LoadTime: 100 * time.Millisecond}
	for i := range spec.Runners {
		if spec.Runners[i].Service == "" {
			spec.Runners[i].Args = append([]string{"--report-lag", "200ms"}, engineArgs...)
		}
	}
	return spec
}

// Guards against accelerator memory that is committed beyond its size while placements change and orders are lost, late,
// repeated or sent by an agent that was replaced.
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
				out, _ := c.Ferryctl(context.Background(), "placements")
				t.Errorf("%v\n%s", err, out)
			}
			checkMemory(t, c)
			if loaded := totalCounters(t, c).Loads - before.Loads; loaded < churnSteps {
				t.Errorf("only %d models were loaded during the churn", loaded)
			}
		})
	}
}
