package bench

import (
	"math"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// observed returns the observation of a generation of 11 tokens, with targets of 620 ms for the first token and 51 ms
// between tokens.
func observed(class Class, member string, first, between time.Duration, complete bool) *Observation {
	const tokens = 11
	m := Member{Name: member, Model: member, FirstToken: 620 * time.Millisecond, BetweenTokens: 51 * time.Millisecond}
	return &Observation{
		Arrival: &Arrival{ID: member, Class: class, Member: m}, FirstToken: first, Elapsed: first + (tokens-1)*between, Tokens: tokens, Complete: complete,
	}
}

// Guards against requests that count as attained although they missed a target, were refused or are incomplete.
func TestAttained(t *testing.T) {
	ms := time.Millisecond
	tests := map[string]struct {
		o    *Observation
		want bool
	}{
		"at both targets":    {observed(Question, "a", 620*ms, 51*ms, true), true},
		"first token late":   {observed(Question, "a", 621*ms, 20*ms, true), false},
		"tokens too slow":    {observed(Question, "a", 100*ms, 52*ms, true), false},
		"incomplete":         {observed(Question, "a", 100*ms, 20*ms, false), false},
		"refused":            {&Observation{Arrival: &Arrival{Class: Question}, Code: failure.Overloaded}, false},
		"service call":       {&Observation{Arrival: &Arrival{Class: ServiceCall}, Complete: true, Elapsed: serviceTarget}, true},
		"slow service call":  {&Observation{Arrival: &Arrival{Class: ServiceCall}, Complete: true, Elapsed: serviceTarget + 1}, false},
		"one token, in time": {&Observation{Arrival: &Arrival{Member: Member{FirstToken: ms}}, Complete: true, Tokens: 1, FirstToken: ms}, true},
	}
	for name, test := range tests {
		if got := test.o.attained(); got != test.want {
			t.Errorf("%s: attained = %v, want %v", name, got, test.want)
		}
	}
}

// Guards against totals that include service calls, which use no accelerator, and against a fairness that misses the
// member with the smallest share or includes members with too few requests.
func TestAttainmentOf(t *testing.T) {
	var all []*Observation
	for i := range 10 {
		all = append(all, observed(Question, "a", time.Millisecond, time.Millisecond, true))
		all = append(all, observed(Dossier, "b", time.Millisecond, time.Millisecond, i < 4))
		all = append(all, observed(ServiceCall, "booking", time.Millisecond, time.Millisecond, true))
	}
	all = append(all, observed(Question, "rare", time.Hour, time.Millisecond, true))
	a := attainmentOf(all, 7, 2)
	if a.Total.Requests != 21 || a.Total.Attained != 14 || a.ByClass[ServiceCall].Share != 1 {
		t.Fatalf("attainment %+v, want 14 of 21 requests in total and a share of 1 for service calls", a)
	}
	if math.Abs(a.SharePerAccelerator-14.0/21/7) > 1e-12 || math.Abs(a.AttainedPerSecondPerAccelerator-1) > 1e-12 {
		t.Fatalf("per accelerator: share %v, want %v; attained requests per second %v, want 1", a.SharePerAccelerator, 14.0/21/7, a.AttainedPerSecondPerAccelerator)
	}
	if f := a.Fairness; f.Members != 2 || f.MinMember != "b" || math.Abs(f.Ratio-0.4) > 1e-12 {
		t.Fatalf("fairness %+v, want 2 members, minimum for b, ratio 0.4", f)
	}
}

// Guards against accepting the figures of a run whose generator fell behind the scheduled arrivals.
func TestLatenessCheck(t *testing.T) {
	tests := map[string]struct {
		late  int
		by    time.Duration
		valid bool
	}{
		"in time":                {0, 0, true},
		"few very late":          {10, time.Second, true},
		"too many very late":     {11, 51 * time.Millisecond, false},
		"p99 at the limit":       {500, 20 * time.Millisecond, true},
		"p99 beyond the limit":   {500, 21 * time.Millisecond, false},
		"everything is too late": {1000, time.Minute, false},
	}
	for name, test := range tests {
		late := make([]time.Duration, 1000)
		for i := range test.late {
			late[i] = test.by
		}
		err := latenessOf(late).Check()
		if (err == nil) != test.valid || err != nil && !failure.HasCode(err, failure.GeneratorLate) {
			t.Errorf("%s: Check() = %v, want valid %v, or else code %s", name, err, test.valid, failure.GeneratorLate)
		}
	}
}

// Guards against accepting a response that belongs to another request, is altered or is truncated without an error.
func TestVerifyResponse(t *testing.T) {
	want := "w0."
	o := &Observation{Arrival: &Arrival{Member: Member{Model: "m"}, OutputTokens: 3}}
	verifyResponse(o, "p", "", true)
	if o.WrongReason == "" {
		t.Fatal("an empty response with an end marker was accepted, want it reported as wrong")
	}
	full := expectedText(o.Arrival, "p")
	tests := map[string]struct {
		text     string
		done     bool
		code     failure.Code
		complete bool
		wrong    bool
	}{
		"complete":            {full, true, "", true, false},
		"without last space":  {full[:len(full)-1], true, "", true, false},
		"foreign":             {expectedText(o.Arrival, "q"), true, "", false, true},
		"altered":             {want + "zzzzz", false, failure.ConnectionLost, false, true},
		"short with mark":     {full[:len(full)-4], true, "", false, true},
		"short without error": {full[:len(full)-4], false, "", false, true},
		"broken with error":   {full[:len(full)-4], false, failure.ConnectionLost, false, false},
		"too long":            {full + "w3.0 ", true, "", false, true},
	}
	for name, test := range tests {
		o := &Observation{Arrival: o.Arrival, Code: test.code}
		verifyResponse(o, "p", test.text, test.done)
		if o.Complete != test.complete || (o.WrongReason != "") != test.wrong {
			t.Errorf("%s: Complete = %v, want %v; WrongReason = %q, want a reason: %v", name, o.Complete, test.complete, o.WrongReason, test.wrong)
		}
	}
}

// Guards against breaches that are not reported, and against reports of breaches that did not occur.
func TestBreachesOf(t *testing.T) {
	refused := func(outcome failure.Outcome) []*Observation {
		return []*Observation{{Arrival: &Arrival{ID: "r"}, Code: failure.Overloaded, Outcome: outcome}}
	}
	ran := func() *BackendCounters {
		counters := newBackendCounters()
		counters.addRuns("runner", map[string]int{"r": 1})
		return counters
	}
	tests := map[string]struct {
		seen     []*Observation
		counters *BackendCounters
		want     BreachKind
	}{
		"not_run that did not run": {refused(failure.NotRun), newBackendCounters(), ""},
		"not_run that ran":         {refused(failure.NotRun), ran(), NotRunButRan},
		"unknown that ran":         {refused(failure.Unknown), ran(), ""},
		"wrong response":           {[]*Observation{{Arrival: &Arrival{}, WrongReason: "foreign"}}, newBackendCounters(), WrongResponse},
		"key once":                 {nil, &BackendCounters{RunsByKey: map[string]int{"k": 1}}, ""},
		"key twice":                {nil, &BackendCounters{RunsByKey: map[string]int{"k": 2}}, KeyRanTwice},
		"overdraw":                 {nil, &BackendCounters{Overdraws: 1}, MemoryOverdrawn},
		"cut":                      {nil, &BackendCounters{CutRequests: 1}, RequestCut},
		"resume":                   {nil, &BackendCounters{ResumeMismatches: 1}, ResumeMismatch},
	}
	for name, test := range tests {
		got := breachesOf(test.seen, test.counters)
		if test.want == "" && len(got) > 0 || test.want != "" && (len(got) != 1 || got[0].Kind != test.want) {
			t.Errorf("%s: breaches %v, want kind %q (empty for none)", name, got, test.want)
		}
	}
}

// Guards against a fitted line with a wrong slope or intercept, and against a division by zero if all x are equal.
func TestFitLine(t *testing.T) {
	line := fitLine([]float64{2, 4, 8, 16}, []float64{7, 11, 19, 35})
	if math.Abs(line.Slope-2) > 1e-12 || math.Abs(line.Intercept-3) > 1e-12 {
		t.Fatalf("line %+v, want slope 2, intercept 3", line)
	}
	if line := fitLine([]float64{4, 4}, []float64{1, 3}); line.Slope != 0 || line.Intercept != 2 {
		t.Fatalf("line through points with equal x: %+v, want slope 0, intercept 2", line)
	}
}

// Guards against changes of options that are dropped, that modify the base options, or that are invalid but accepted.
func TestOptionsWith(t *testing.T) {
	base := Options{EntrySettings: map[string]string{"retry.burst": "1"}}
	got, err := base.With("policy=random,load=2.5,entry.retry.burst=9,agent.queue.x=y")
	if err != nil || got.Policy != "random" || got.Rate != 2.5 || got.EntrySettings["retry.burst"] != "9" || got.AgentSettings["queue.x"] != "y" {
		t.Fatalf("With returned %+v, %v, want policy random, rate 2.5, entry retry.burst 9, agent queue.x y", got, err)
	}
	if base.EntrySettings["retry.burst"] != "1" {
		t.Fatalf("retry.burst of the base options after With: %q, want 1", base.EntrySettings["retry.burst"])
	}
	for _, changes := range []string{"", "policy", "load=fast", "unknown=1"} {
		if _, err := base.With(changes); !failure.HasCode(err, failure.SettingsInvalid) {
			t.Errorf("With(%q) returned error %v, want code %s", changes, err, failure.SettingsInvalid)
		}
	}
}
