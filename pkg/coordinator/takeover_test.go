package coordinator

import (
	"context"
	"sync"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/gateway"
)

type fixedFleet struct {
	config  *fleet.Config
	servers map[string]fleet.Server
}

func (f fixedFleet) View() *gateway.View {
	return &gateway.View{Config: f.config, Servers: f.servers, ServersKnown: true}
}

func (fixedFleet) PollServersFastUntil(time.Time) {}

type fixedLease struct{}

func (fixedLease) Held() bool                  { return true }
func (fixedLease) Token() (int64, bool)        { return 7, true }
func (fixedLease) Tenure() int64               { return 7 }
func (fixedLease) IsSoleHolder() bool          { return true }
func (fixedLease) Daemons() int                { return 0 }
func (fixedLease) ConfirmedAge() time.Duration { return 0 }
func (fixedLease) Position() int64             { return 1 }
func (fixedLease) RecordFenced(int64)          {}

// fakeRunnerClient answers with a state set by the test and records orders.
type fakeRunnerClient struct {
	mu     sync.Mutex
	state  RunnerState
	orders []Order
}

func (c *fakeRunnerClient) ReadState(context.Context, string, string) (RunnerState, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, nil
}

func (c *fakeRunnerClient) SendOrder(_ context.Context, _, _ string, o Order) (OrderResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
	return Accepted, nil
}

func (c *fakeRunnerClient) set(change func(*RunnerState)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.state)
}

func (c *fakeRunnerClient) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.orders)
}

func testEngine() *fleet.Engine {
	e := &fleet.Engine{BatchSlots: 8, MemoryMB: 200, AdapterSlots: 2, LoadsPerSecond: 2, Models: map[string]fleet.Model{}}
	for _, name := range []string{"m0", "m1", "m2", "m3"} {
		e.Models[name] = fleet.Model{Name: name, WeightsMB: 90, StoreLoad: 10 * time.Millisecond, Adapters: 3, AdapterMB: 1}
	}
	return e
}

// Guards against a new holder that commits memory twice: a load ordered by its predecessor does not show in the
// runner's models until it is done (found on quiet-1 of apdd-orders, a holder cut off from the store).
func TestNewHolderWaitsForLoadOfPredecessor(t *testing.T) {
	engine := testEngine()
	control := &fakeRunnerClient{state: RunnerState{StartMillis: 1, AcceptedOrders: 16, Busy: true, Models: []fleet.ResidentModel{{Name: "m0"}}}}
	source := fixedFleet{
		config:  &fleet.Config{Services: map[string]fleet.Service{"s": {Name: "s", Engine: engine}}},
		servers: map[string]fleet.Server{"r": {ID: "r", Service: "s", StartMillis: 1, Address: "x:1", Models: []fleet.ResidentModel{{Name: "m0"}}}},
	}
	c := New(Config{Holder: "h", LoadLimits: LoadLimits{Window: 5 * time.Second, Factor: 1.1}}, source, fixedLease{}, control, eventlog.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	c.mu.Lock()
	c.demand[modelKey{"s", "m2"}] = &demandRate{rate: 1, updatedAt: time.Now(), lastRequest: time.Now(), waiting: map[string]int{"d": 3}}
	c.mu.Unlock()
	time.Sleep(3 * planInterval)
	if n := control.count(); n != 0 {
		t.Fatalf("orders to a runner that is still loading for the previous holder: %d, want 0", n)
	}
	control.set(func(s *RunnerState) { s.Busy, s.Models = false, append(s.Models, fleet.ResidentModel{Name: "m1"}) })
	deadline := time.Now().Add(5 * time.Second)
	for control.count() == 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	control.mu.Lock()
	first := control.orders
	control.mu.Unlock()
	if len(first) == 0 || first[0].Operation != Unload || first[0].ExpectedOrders != 16 {
		t.Errorf("orders %+v, want first an unload that expects 16 accepted orders", first)
	}
	cancel()
	<-done
}
