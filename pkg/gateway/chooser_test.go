package gateway

import (
	"fmt"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/availability"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/verdict"
)

var now = time.Unix(5000, 0)

// modelView returns a view with n runners of one model in two regions; runner i has loaded adapter a<i>.
func modelView(n int) *View {
	v := &View{Servers: map[string]fleet.Server{}, ByService: map[string][]string{}, ServersKnown: true, ServersAt: now}
	for i := range n {
		id := fmt.Sprint("r", i)
		v.Servers[id] = fleet.Server{ID: id, Service: "llm", Address: id + ":1", FailureDomain: fmt.Sprint("z", i%2), StartMillis: 1,
			Models: []fleet.ResidentModel{{Name: "m", Adapters: []string{fmt.Sprint("a", i)}}}}
		v.ByService["llm"] = append(v.ByService["llm"], id)
	}
	return v
}

func modelJob(id, adapter string, shared, own int) *job {
	j := &job{route: &fleet.Route{Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2}, tried: map[string]bool{},
		service: fleet.Service{Name: "llm", Engine: &fleet.Engine{CacheTokens: 200000}},
		meta: RequestMeta{RequestID: id, Model: "m", Adapter: adapter, PromptTokens: shared + own,
			Prompt: []PromptPart{{ID: "shared", Tokens: shared}, {ID: id, Tokens: own}}}}
	j.chain = prefixChain(&j.meta)
	return j
}

func testChooser() *chooser { return newChooser("east", map[string]string{"z0": "east", "z1": "west"}) }

// Load pattern: many long prompts with one shared part arrive at once. Guards against sending all of them to the runner
// that has cached the part, where they would queue behind each other.
func TestBurstOfLongPromptsSpreads(t *testing.T) {
	view, work, c := modelView(6), NewTracker(), testChooser()
	count := map[string]int{}
	for n := range 12 {
		j := modelJob(fmt.Sprint("id", n), "", 6000, 3000)
		got, ok := c.choose(j, view, work, now)
		if !ok {
			t.Fatalf("request %d: no runner chosen, want one", n)
		}
		count[got.server.ID]++
		work.BeginAttempt(got.server.ID, got.prefill)
	}
	for id, n := range count {
		if n > 5 {
			t.Errorf("%d of 12 prompts on runner %s, want at most 5: %v", n, id, count)
		}
	}
	if len(count) < 3 {
		t.Errorf("%d runners used, want at least 3: %v", len(count), count)
	}
}

// Load pattern: few requests with a shared prompt part. Guards against daemons that choose different runners, so that
// every runner processes the part again.
func TestSharedPartsGoToOneRunner(t *testing.T) {
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
				t.Errorf("daemon %d chose runner %s, want %s as the first daemon", daemon, got.server.ID, first)
			}
		}
	}
}

// Load pattern: another daemon has sent long prompts to a runner. Guards against predictions that count only this
// daemon's work, and against ones that use a stale placement.
func TestWorkOfOtherDaemonsCounts(t *testing.T) {
	view, work, c := modelView(4), NewTracker(), testChooser()
	j := modelJob("id", "", 6000, 500)
	got, _ := c.choose(j, view, work, now)
	view.Placement = &Placement{PeerTokens: map[string]int{got.server.ID: 60000}}
	view.PlacementAt = now
	if again, _ := c.choose(j, view, work, now); again.server.ID == got.server.ID {
		t.Errorf("chose runner %s, which has 60000 prompt tokens (two seconds) of other daemons, want another", again.server.ID)
	}
	view.PlacementAt = now.Add(-10 * time.Second)
	if again, _ := c.choose(j, view, work, now); again.server.ID != got.server.ID {
		t.Errorf("chose runner %s with a placement of 10 s ago, want %s", again.server.ID, got.server.ID)
	}
}

// Guards against requests to runners that have not loaded the adapter, are draining or suspected, or were already
// tried.
func TestUnusableRunnersAreExcluded(t *testing.T) {
	view, work, c := modelView(4), NewTracker(), testChooser()
	if got, ok := c.choose(modelJob("id", "a2", 100, 10), view, work, now); !ok || got.server.ID != "r2" {
		t.Errorf("runner for adapter a2: %q, want r2", got.server.ID)
	}
	if _, ok := c.choose(modelJob("id", "a9", 100, 10), view, work, now); ok {
		t.Error("chose a runner for adapter a9, which none has loaded")
	}
	s := view.Servers["r0"]
	s.Draining = true
	view.Servers["r0"] = s
	work.RecordFailure("r1", now)
	j := modelJob("id", "", 100, 10)
	j.tried["r2"] = true
	if got, ok := c.choose(j, view, work, now); !ok || got.server.ID != "r3" {
		t.Errorf("runner with r0 draining, r1 suspected and r2 tried: %q, want r3", got.server.ID)
	}
	j.tried["r3"] = true
	if got, ok := c.choose(j, view, work, now); !ok || got.server.ID != "r1" {
		t.Errorf("runner when only the suspected r1 is left: %q, want r1", got.server.ID)
	}
}

// Guards against requests for a model that is being unloaded according to the placement, and against the use of a
// placement once it is stale.
func TestFreshPlacementOverridesReports(t *testing.T) {
	view, work, c := modelView(1), NewTracker(), testChooser()
	view.Placement = &Placement{Holdings: map[string]Holding{"r0": {BornMillis: 1, Models: map[string]bool{"m": true}, Unloading: map[string]bool{"m": true}}}}
	view.PlacementAt = now
	if _, ok := c.choose(modelJob("id", "", 100, 10), view, work, now); ok {
		t.Error("chose a runner for a model that it is unloading, want none")
	}
	if _, ok := c.choose(modelJob("id", "", 100, 10), view, work, now.Add(time.Minute)); !ok {
		t.Error("no runner chosen with a placement of a minute ago, want r0 by its own report")
	}
}

// Load pattern: requests to a plain service with few servers and few slots. Guards against a queue at one server while
// another has free slots.
func TestPlainRequestsSpreadByLoad(t *testing.T) {
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
		work.BeginAttempt(got.server.ID, 0)
	}
	if count["p0"] != 4 || count["p1"] != 4 {
		t.Errorf("requests by server: %v, want 4 each", count)
	}
	work = NewTracker()
	work.RecordLoad("p0", Load{Known: true, Running: 4, Waiting: 6, Slots: 4}, now)
	if got, _ := c.choose(j, view, work, now); got.server.ID != "p1" {
		t.Errorf("chose %s while p0 reports a queue of 6, want p1", got.server.ID)
	}
}

// Guards against a status that tells callers that the request was not executed when that is not known.
func TestFailureStatusMatchesOutcome(t *testing.T) {
	notExecuted := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for _, code := range []failure.Code{failure.Overloaded, failure.NoBackend, failure.ConnectionLost, failure.Truncated, failure.DeadlineExceeded,
		failure.EngineFailed, failure.NotReady, failure.TargetMissed, failure.RequestTimeout, failure.CapExceeded, failure.Leaving} {
		for _, outcome := range []failure.Outcome{failure.Unknown, failure.Ran} {
			if status := verdict.CallerStatus(code, outcome); notExecuted[status] {
				t.Errorf("%s with outcome %s: status %d, which means not executed", code, outcome, status)
			}
		}
		if status := verdict.CallerStatus(code, failure.NotRun); !notExecuted[status] {
			t.Errorf("%s with outcome not_run: status %d, want one that means not executed", code, status)
		}
	}
}

// Load pattern: models move, then the store and the lease holder are lost (incidents inc-b964 and inc-304a). Guards
// against requests that go by the servers' older reports to runners that have unloaded the model, where each spends
// retry budget.
func TestStalePlacementIsUsedDuringStoreOutage(t *testing.T) {
	view, work, c := modelView(2), NewTracker(), testChooser()
	view.Placement = &Placement{Holdings: map[string]Holding{
		"r0": {BornMillis: 1, Models: map[string]bool{}}, "r1": {BornMillis: 1, Models: map[string]bool{"m": true}}}}
	view.ServersAt, view.PlacementAt = now.Add(-9*time.Second), now.Add(-8*time.Second)
	for range 3 {
		if got, ok := c.choose(modelJob("id", "", 100, 10), view, work, now); !ok || got.server.ID != "r1" {
			t.Fatalf("runner by a stale placement newer than the reports: %q, want r1", got.server.ID)
		}
	}
	view.ServersAt = now
	if _, ok := c.choose(modelJob("id", "", 100, 10), view, work, now); !ok {
		t.Error("no runner chosen with reports newer than the placement, want one")
	}
	work.RecordNotLoaded("r0", "m", "", now)
	if got, ok := c.choose(modelJob("id", "", 100, 10), view, work, now); !ok || got.server.ID != "r1" {
		t.Errorf("runner after r0 refused the model: %q, want r1", got.server.ID)
	}
	work.RecordNotLoaded("r1", "m", "", now)
	if _, ok := c.choose(modelJob("id", "", 100, 10), view, work, now.Add(time.Second)); ok {
		t.Error("chose a runner 1 s after all refused the model, want none")
	}
	if _, ok := c.choose(modelJob("id", "", 100, 10), view, work, now.Add(notLoadedTTL)); !ok {
		t.Errorf("no runner chosen %v after the refusals, want one", notLoadedTTL)
	}
}

// Guards against operators that cannot see how many requests go elsewhere because servers leave or pause.
func TestChoiceTellsWhatWasPassedOver(t *testing.T) {
	view, work, c := modelView(3), NewTracker(), testChooser()
	c.availability = availability.NewTable(func() float64 { return 0 }, func(availability.Change) {})
	passedOver := func() (leaving, paused bool) {
		got, ok := c.choose(modelJob("id", "", 100, 100), view, work, now)
		if !ok {
			t.Fatal("no runner chosen, want one")
		}
		return got.leaving, got.paused
	}
	if leaving, paused := passedOver(); leaving || paused {
		t.Errorf("while all servers take requests: leaving %v, paused %v, want neither", leaving, paused)
	}
	c.availability.Record(availability.Incarnation{ID: "r0", StartMillis: 1}, availability.Answer{Leaving: true, SentAt: now, At: now})
	if leaving, paused := passedOver(); !leaving || paused {
		t.Errorf("while a server leaves: leaving %v, paused %v, want the first", leaving, paused)
	}
	c.availability.Record(availability.Incarnation{ID: "r1", StartMillis: 1}, availability.Answer{Pause: time.Second, SentAt: now, At: now})
	if leaving, paused := passedOver(); !leaving || !paused {
		t.Errorf("while one leaves and one pauses: leaving %v, paused %v, want both", leaving, paused)
	}
}
