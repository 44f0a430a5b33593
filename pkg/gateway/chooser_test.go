package gateway

import (
	"fmt"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
)

var now = time.Unix(5000, 0)

// modelView is a view with n runners of one model in two regions.
func modelView(n int) *View {
	v := &View{Servers: map[string]fleet.Server{}, ByService: map[string][]string{}, Listed: true, ServersAt: now}
	for i := range n {
		id := fmt.Sprint("r", i)
		v.Servers[id] = fleet.Server{ID: id, Service: "llm", Address: id + ":1", FailureDomain: fmt.Sprint("z", i%2), BornMillis: 1,
			Models: []fleet.HeldModel{{Name: "m", Adapters: []string{fmt.Sprint("a", i)}}}}
		v.ByService["llm"] = append(v.ByService["llm"], id)
	}
	return v
}

func modelJob(id, adapter string, shared, own int) *job {
	j := &job{route: &fleet.Route{Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2}, tried: map[string]bool{},
		service: fleet.Service{Name: "llm", Engine: &fleet.Engine{CacheTokens: 200000}},
		meta: Meta{RequestID: id, Model: "m", Adapter: adapter, PromptTokens: shared + own,
			Prompt: []PromptPart{{ID: "shared", Tokens: shared}, {ID: id, Tokens: own}}}}
	j.chain = prefixChain(&j.meta)
	return j
}

func testChooser() *chooser { return newChooser("east", map[string]string{"z0": "east", "z1": "west"}) }

// Load pattern: many long prompts with one shared part arrive at once. Guards against all of them on the runner that
// keeps the part, where they would wait behind each other.
func TestBurstOfLongPromptsSpreads(t *testing.T) {
	view, work, c := modelView(6), NewTracker(), testChooser()
	count := map[string]int{}
	for n := range 12 {
		j := modelJob(fmt.Sprint("id", n), "", 6000, 3000)
		got, ok := c.choose(j, view, work, now)
		if !ok {
			t.Fatal("no runner")
		}
		count[got.server.ID]++
		work.Begin(got.server.ID, got.prefill)
	}
	for id, n := range count {
		if n > 5 {
			t.Errorf("%d of 12 prompts on runner %s: %v", n, id, count)
		}
	}
	if len(count) < 3 {
		t.Errorf("only %d runners used: %v", len(count), count)
	}
}

// Load pattern: few requests with shared parts. Guards against shared parts that are processed again on every runner.
func TestSharedPartsMeetAtOneRunner(t *testing.T) {
	view, c := modelView(6), testChooser()
	first := ""
	for daemon := range 4 {
		work := NewTracker()
		for n := range 3 {
			got, _ := c.choose(modelJob(fmt.Sprint(daemon, n), "", 6000, 500), view, work, now)
			if first == "" {
				first = got.server.ID
			}
			if got.server.ID != first {
				t.Errorf("daemon %d sends to %s, others to %s", daemon, got.server.ID, first)
			}
		}
	}
}

// Load pattern: another daemon has sent long prompts to a runner. Guards against daemons that see only their own work.
func TestWorkOfOtherDaemonsCounts(t *testing.T) {
	view, work, c := modelView(4), NewTracker(), testChooser()
	j := modelJob("id", "", 6000, 500)
	got, _ := c.choose(j, view, work, now)
	view.Placement = &Placement{PeerTokens: map[string]int{got.server.ID: 60000}}
	view.PlacementAt = now
	if again, _ := c.choose(j, view, work, now); again.server.ID == got.server.ID {
		t.Error("a runner with two seconds of other work is chosen")
	}
	view.PlacementAt = now.Add(-10 * time.Second)
	if again, _ := c.choose(j, view, work, now); again.server.ID != got.server.ID {
		t.Error("an old report of others' work counts")
	}
}

// Guards against requests to runners that do not hold the adapter, are leaving, avoided or already tried.
func TestUnusableRunnersAreLeftOut(t *testing.T) {
	view, work, c := modelView(4), NewTracker(), testChooser()
	if got, ok := c.choose(modelJob("id", "a2", 100, 10), view, work, now); !ok || got.server.ID != "r2" {
		t.Errorf("adapter a2 at %q", got.server.ID)
	}
	if _, ok := c.choose(modelJob("id", "a9", 100, 10), view, work, now); ok {
		t.Error("a runner without the adapter was chosen")
	}
	s := view.Servers["r0"]
	s.Draining = true
	view.Servers["r0"] = s
	work.Failed("r1", now)
	j := modelJob("id", "", 100, 10)
	j.tried["r2"] = true
	if got, ok := c.choose(j, view, work, now); !ok || got.server.ID != "r3" {
		t.Errorf("chose %q", got.server.ID)
	}
	j.tried["r3"] = true
	if got, ok := c.choose(j, view, work, now); !ok || got.server.ID != "r1" {
		t.Errorf("an avoided runner must serve when it is the only one, got %q", got.server.ID)
	}
}

// Guards against requests for a model that the holder of the lease is unloading, and against its view once it is old.
func TestHolderGoesBeforeReports(t *testing.T) {
	view, work, c := modelView(1), NewTracker(), testChooser()
	view.Placement = &Placement{Holdings: map[string]Holding{"r0": {BornMillis: 1, Models: map[string]bool{"m": true}, Leaving: map[string]bool{"m": true}}}}
	view.PlacementAt = now
	if _, ok := c.choose(modelJob("id", "", 100, 10), view, work, now); ok {
		t.Error("a model that is being unloaded is used")
	}
	if _, ok := c.choose(modelJob("id", "", 100, 10), view, work, now.Add(time.Minute)); !ok {
		t.Error("without a holder the runner's report does not count")
	}
}

// Load pattern: plain requests at a few servers with few slots. Guards against queues at one of them.
func TestPlainRequestsFollowTheLoad(t *testing.T) {
	view := &View{Servers: map[string]fleet.Server{}, ByService: map[string][]string{"p": {"p0", "p1"}}}
	for _, id := range view.ByService["p"] {
		view.Servers[id] = fleet.Server{ID: id, Service: "p", FailureDomain: "z0", Slots: 4}
	}
	work, c := NewTracker(), testChooser()
	j := &job{route: &fleet.Route{Kind: fleet.NonIdempotent}, service: fleet.Service{Name: "p"}, tried: map[string]bool{}}
	count := map[string]int{}
	for range 8 {
		got, _ := c.choose(j, view, work, now)
		count[got.server.ID]++
		work.Begin(got.server.ID, 0)
	}
	if count["p0"] != 4 || count["p1"] != 4 {
		t.Errorf("shares %v", count)
	}
	work = NewTracker()
	work.Reported("p0", Load{Known: true, Running: 4, Waiting: 6, Slots: 4}, now)
	if got, _ := c.choose(j, view, work, now); got.server.ID != "p1" {
		t.Error("a server that reports a queue is chosen")
	}
}

// Guards against a status that promises that nothing ran when that is not known.
func TestOwnStatusPromisesOnlyWhatIsKnown(t *testing.T) {
	promises := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for _, code := range []failure.Code{failure.Overloaded, failure.NoBackend, failure.ConnectionLost, failure.Truncated, failure.DeadlineExpired,
		failure.EngineFailed, failure.NotReady, failure.TargetMissed, failure.RequestTimeout, failure.CapExceeded, failure.Leaving} {
		for _, outcome := range []failure.Outcome{failure.Unknown, failure.Ran} {
			if status := ownStatus(failure.New(code, outcome, "")); promises[status] {
				t.Errorf("%s %s: status %d", code, outcome, status)
			}
		}
		if status := ownStatus(failure.New(code, failure.NotRun, "")); !promises[status] {
			t.Errorf("%s not run: status %d", code, status)
		}
	}
}

// Load pattern: models move, then the store and the holder of the lease are lost (incidents inc-b964 and inc-304a).
// Guards against requests that follow the servers' older reports to runners that no longer hold the model, and that
// spend the retry budget there again and again.
func TestPlacementOutlivesItsHolderWithoutTheStore(t *testing.T) {
	view, work, c := modelView(2), NewTracker(), testChooser()
	view.Placement = &Placement{Holdings: map[string]Holding{
		"r0": {BornMillis: 1, Models: map[string]bool{}}, "r1": {BornMillis: 1, Models: map[string]bool{"m": true}}}}
	view.ServersAt, view.PlacementAt = now.Add(-9*time.Second), now.Add(-8*time.Second)
	for range 3 {
		if got, ok := c.choose(modelJob("id", "", 100, 10), view, work, now); !ok || got.server.ID != "r1" {
			t.Fatalf("chose %q", got.server.ID)
		}
	}
	view.ServersAt = now
	if _, ok := c.choose(modelJob("id", "", 100, 10), view, work, now); !ok {
		t.Error("newer reports of the servers do not count")
	}
	work.Denied("r0", "m", "", now)
	if got, ok := c.choose(modelJob("id", "", 100, 10), view, work, now); !ok || got.server.ID != "r1" {
		t.Errorf("a runner that refused the model is asked again: %q", got.server.ID)
	}
	work.Denied("r1", "m", "", now)
	if _, ok := c.choose(modelJob("id", "", 100, 10), view, work, now.Add(time.Second)); ok {
		t.Error("runners that refused the model are asked again")
	}
	if _, ok := c.choose(modelJob("id", "", 100, 10), view, work, now.Add(denialTime)); !ok {
		t.Error("a refusal counts for ever")
	}
}
