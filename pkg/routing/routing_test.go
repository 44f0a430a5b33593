package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

func query() *Query {
	return &Query{Target: "m", PrefixHash: 7, Region: "a", Now: now, Rand: rand.New(rand.NewPCG(1, 2))}
}

func runners(spec ...string) []Candidate {
	var out []Candidate
	for _, s := range spec {
		out = append(out, Candidate{Runner: s, Region: s[:1]})
	}
	return out
}

func names(candidates []Candidate) []string {
	out := []string{}
	for _, c := range candidates {
		out = append(out, c.Runner)
	}
	return out
}

// Guards against requests to draining or failed runners, and against a model that becomes unreachable because all its
// runners are suspected.
func TestFilters(t *testing.T) {
	all := runners("b1", "a1", "a2")
	draining := runners("a1", "a2")
	draining[0].Draining = true
	tests := map[string]struct {
		filter Filter
		edit   func(*Query)
		in     []Candidate
		want   []string
	}{
		"draining":    {DrainingFilter{}, func(*Query) {}, draining, []string{"a2"}},
		"tried":       {TriedFilter{}, func(q *Query) { q.Tried = map[string]bool{"a1": true} }, all, []string{"b1", "a2"}},
		"suspect":     {SuspectFilter{}, func(q *Query) { q.Suspects = map[string]time.Time{"a1": now.Add(1)} }, all, []string{"b1", "a2"}},
		"expired":     {SuspectFilter{}, func(q *Query) { q.Suspects = map[string]time.Time{"a1": now} }, all, []string{"b1", "a1", "a2"}},
		"all suspect": {SuspectFilter{}, func(q *Query) { q.Suspects = map[string]time.Time{"a1": now.Add(1)} }, all[1:2], []string{"a1"}},
		"region":      {RegionFilter{}, func(*Query) {}, all, []string{"a1", "a2", "b1"}},
	}
	for name, tt := range tests {
		q := query()
		tt.edit(q)
		if got := names(tt.filter.Filter(q, tt.in)); !slices.Equal(got, tt.want) {
			t.Errorf("%s: candidates %v, want %v", name, got, tt.want)
		}
	}
}

// Guards against spending attempts on a runner that does not respond while a trusted one is only restarting.
func TestTrustedRunnerIsPreferredToUntriedSuspect(t *testing.T) {
	p, _ := NewPolicy(PolicyProbe, Costs{})
	q := query()
	q.Tried = map[string]bool{"a1": true}
	q.Suspects = map[string]time.Time{"a2": now.Add(1)}
	if got := p.Filter(q, runners("a1", "a2")); len(got) != 0 {
		t.Fatalf("candidates with a1 tried and a2 suspected: %v, want none", names(got))
	}
	q.Suspects["a1"] = now.Add(1)
	if got := names(p.Filter(q, runners("a1", "a2"))); !slices.Equal(got, []string{"a2"}) {
		t.Fatalf("candidates with a1 tried and both suspected: %v, want a2", got)
	}
}

// Guards against spreading the requests of one prefix over several caches, and against duplicate candidates or remote
// ones while the limit is reached locally.
func TestProbeChooser(t *testing.T) {
	in := runners("a1", "a2", "a3", "a4", "a5", "b1")
	owner := ""
	for seed := range uint64(50) {
		q := query()
		q.Rand = rand.New(rand.NewPCG(seed, 0))
		q.Rand.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
		got := names(ProbeChooser{}.Choose(q, in, 3))
		if owner == "" {
			owner = got[0]
		}
		if got[0] != owner || len(got) != 3 || slices.Contains(got, "b1") {
			t.Fatalf("seed %d: chose %v, want three local runners with the owner %s first", seed, got, owner)
		}
		if slices.Sort(got); len(slices.Compact(got)) != 3 {
			t.Fatalf("seed %d: chose %v, want three different runners", seed, got)
		}
	}
	if got := names(ProbeChooser{}.Choose(query(), runners("b1", "a1"), 3)); !slices.Equal(got, []string{"a1", "b1"}) {
		t.Fatalf("chosen of one local and one remote runner: %v, want a1 and b1", got)
	}
}

// Guards against keys that concentrate on one runner or that change their owner when another runner is removed.
func TestKeyOwnersAreBalancedAndStable(t *testing.T) {
	in := runners("a1", "a2", "a3")
	count := map[string]int{}
	for i := range 3000 {
		q := query()
		q.Key = fmt.Sprint(i)
		owner := KeyChooser{}.Choose(q, in, 3)[0]
		count[owner.Runner]++
		less := filterCandidates(in, func(c Candidate) bool { return c.Runner == owner.Runner || c.Runner == "a1" })
		if got := (KeyChooser{}).Choose(q, less, 3)[0]; got.Runner != owner.Runner {
			t.Fatalf("owner of key %d after another runner was removed: %s, want %s as before", i, got.Runner, owner.Runner)
		}
	}
	for r, n := range count {
		if n < 800 || n > 1200 {
			t.Errorf("%s owns %d of 3000 keys, want 800 to 1200", r, n)
		}
	}
}

// Guards against a policy that ignores the prediction or the region cost.
func TestPolicies(t *testing.T) {
	in := runners("a1", "b1")
	in[0].Prediction = &Prediction{FirstToken: 150 * time.Millisecond}
	in[1].Prediction = &Prediction{FirstToken: 100 * time.Millisecond}
	for cost, want := range map[time.Duration]string{10 * time.Millisecond: "b1", 100 * time.Millisecond: "a1"} {
		p, err := NewPolicy(PolicyProbe, Costs{Region: cost})
		if err != nil {
			t.Fatal(err)
		}
		if got, _ := p.Pick(query(), in); got.Runner != want {
			t.Errorf("pick with region cost %v: %s, want %s", cost, got.Runner, want)
		}
	}
	rr, _ := NewPolicy(PolicyRoundRobin, Costs{})
	first, _ := rr.Pick(query(), in)
	second, _ := rr.Pick(query(), in)
	if first.Runner == second.Runner {
		t.Errorf("first two picks of round robin: %s twice, want different runners", first.Runner)
	}
	if _, err := NewPolicy("best", Costs{}); err == nil {
		t.Error("NewPolicy(best): no error, want one for an unknown policy")
	}
}

// Guards against trying a dead runner at a constant rate, and against avoiding a runner that responds again.
func TestSuspects(t *testing.T) {
	s := NewSuspects()
	at := now
	var last time.Duration
	for range 10 {
		if !s.RecordFailure("r", at) || s.RecordFailure("r", at) {
			t.Fatal("Fail of a runner twice at the same time: want true for the first call and false for the second")
		}
		wait := s.Until()["r"].Sub(at)
		if wait < last || wait > maxSuspectTime {
			t.Fatalf("runner avoided for %v after %v, want at least as long and at most %v", wait, last, maxSuspectTime)
		}
		last = wait
		at = at.Add(wait)
	}
	if last != maxSuspectTime || !s.Clear("r") || len(s.Until()) != 0 {
		t.Fatalf("runner avoided for %v after 10 failures, want %v; suspects after a response: %v, want none", last, maxSuspectTime, s.Until())
	}
}

// Guards against loading an adapter on every runner of its model although one has already loaded it.
func TestAdapterCost(t *testing.T) {
	p, _ := NewPolicy(PolicyProbe, Costs{Region: 100 * time.Millisecond, Adapter: 150 * time.Millisecond})
	q := query()
	q.Adapter = "x"
	in := runners("a1", "a2")
	in[0].Prediction = &Prediction{FirstToken: 20 * time.Millisecond}
	in[1].Prediction = &Prediction{FirstToken: 120 * time.Millisecond, AdapterResident: true}
	if got, _ := p.Pick(q, in); got.Runner != "a2" {
		t.Errorf("pick: %s, want a2, which has loaded the adapter", got.Runner)
	}
	in[1].Prediction.FirstToken = 200 * time.Millisecond
	if got, _ := p.Pick(q, in); got.Runner != "a1" {
		t.Errorf("pick: %s, want a1, because waiting for a2 costs more than loading the adapter", got.Runner)
	}
	first := p.Candidates(q, runners("a1", "a2", "a3"), 1)
	q.PrefixHash++
	if again := p.Candidates(q, runners("a1", "a2", "a3"), 1); again[0].Runner != first[0].Runner {
		t.Errorf("candidate for another prompt with the same adapter: %s, want %s", again[0].Runner, first[0].Runner)
	}
}
