package coordinator

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
)

// unreachableClient refuses connections to the runners in down and records orders to the others.
type unreachableClient struct {
	fakeRunnerClient
	down map[string]bool
}

func (c *unreachableClient) ReadState(ctx context.Context, address, id string) (RunnerState, error) {
	if c.down[id] {
		return RunnerState{}, failure.New(failure.ConnectFailed, failure.NotRun, "connection refused")
	}
	return c.fakeRunnerClient.ReadState(ctx, address, id)
}

// Load pattern: runners crash and stay in the list until three heartbeats are missing. Guards against models and
// adapters that are not placed elsewhere for these seconds, because the list still names the runner that had them.
func TestModelsOfACrashedRunnerAreReplaced(t *testing.T) {
	control := &unreachableClient{fakeRunnerClient: fakeRunnerClient{state: RunnerState{StartMillis: 1, Models: []fleet.ResidentModel{{Name: "m0"}}}},
		down: map[string]bool{"crashed": true}}
	server := func(id string, models ...string) fleet.Server {
		s := fleet.Server{ID: id, Service: "s", StartMillis: 1, Address: id + ":1"}
		for _, m := range models {
			s.Models = append(s.Models, fleet.ResidentModel{Name: m})
		}
		return s
	}
	source := fixedFleet{
		config:  &fleet.Config{Services: map[string]fleet.Service{"s": {Name: "s", Engine: testEngine()}}},
		servers: map[string]fleet.Server{"crashed": server("crashed", "m3"), "other": server("other", "m0")},
	}
	c := New(Config{Holder: "h", LoadLimits: LoadLimits{Window: 5 * time.Second, Factor: 1.1}}, source, fixedLease{}, control, eventlog.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	indexOf := func(id string) uint32 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if r := c.runners[id]; r != nil {
			return r.index
		}
		return 0
	}
	deadline := time.Now().Add(2 * time.Second)
	for indexOf("crashed") == 0 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	for control.count() == 0 && time.Now().Before(deadline) {
		report := &ferrypb.LoadReport{Daemon: "d", Tenure: 7, Unreached: []uint32{indexOf("crashed")},
			Demand: []*ferrypb.Demand{{Service: "s", Model: "m3", Waiting: 2}}}
		if _, err := c.Report(ctx, report); err != nil {
			t.Fatal(err)
		}
	}
	control.mu.Lock()
	defer control.mu.Unlock()
	if len(control.orders) == 0 || control.orders[0].Operation != Load || control.orders[0].Model != "m3" {
		t.Errorf("orders %+v, want first a load of m3, the crashed runner's model", control.orders)
	}
}
