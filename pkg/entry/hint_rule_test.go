package entry

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/routing"
)

// Guards against copies that are loaded for prompts which no runner can serve in time, and against unmet demand that
// is taken for such prompts.
func TestHintRule(t *testing.T) {
	const target = time.Second
	refusal := func(code failure.Code) *routing.Prediction { return &routing.Prediction{Code: string(code)} }
	late := &routing.Prediction{Accepts: true, FirstToken: 3 * time.Second}
	inTime := &routing.Prediction{Accepts: true, FirstToken: time.Second}
	tests := []struct {
		name   string
		prompt uint32
		answer []*routing.Prediction
		want   bool
	}{
		{"busy runners", 500, []*routing.Prediction{late, late}, true},
		{"one in time", 500, []*routing.Prediction{late, inTime}, false},
		{"prompt too long for every runner", 2000, []*routing.Prediction{late, late}, false},
		{"refused for capacity", 2000, []*routing.Prediction{refusal(failure.Overloaded), refusal(failure.TargetMissed)}, true},
		{"refused by a cap", 500, []*routing.Prediction{refusal(failure.CapExceeded)}, false},
	}
	rate := &idleRate{}
	// 1,000 tokens/s when idle; the wait of busy runners and the cached part must not change that.
	for _, p := range []*ferrypb.ProbeResponse{{FirstTokenMicros: 4e6}, {FirstTokenMicros: 1e6}, {FirstTokenMicros: 1e5, CachedTokens: 960}, {FirstTokenMicros: 5e5, CachedTokens: 500}} {
		rate.learn(1000, p)
	}
	for _, tt := range tests {
		var answered []routing.Candidate
		for _, p := range tt.answer {
			answered = append(answered, routing.Candidate{Prediction: p})
		}
		if got := missesTarget(answered, target, rate.fits(tt.prompt, target)); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
	if !(&idleRate{}).fits(1e6, target) {
		t.Error("an unknown rate counts as too slow")
	}
}

// Guards against single late requests that are counted as a rate, which loads a copy for each of them.
func TestUnmetRate(t *testing.T) {
	h := &Hinter{unmet: map[string]*unmetCount{}}
	at := time.Unix(1000, 0)
	if rate, _, due := h.count("m", at); !due || rate > 0.101 {
		t.Errorf("one request: rate %v, due %v", rate, due)
	}
	last := 0.0
	for i := range 200 {
		if rate, _, due := h.count("m", at.Add(time.Duration(i)*100*time.Millisecond)); due {
			last = rate
		}
	}
	if last < 8 || last > 12 {
		t.Errorf("10 requests/s give a rate of %v", last)
	}
	if rate, _, due := h.count("m", at.Add(time.Hour)); !due || rate > 0.101 {
		t.Errorf("one request after a pause: rate %v, due %v", rate, due)
	}
}

// Guards against hints that reach the same two runners for ever although these have no room.
func TestHintsMoveOn(t *testing.T) {
	var others []routing.Candidate
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		others = append(others, routing.Candidate{Runner: name})
	}
	others[4].Leaving = true
	seen := map[string]int{}
	for round := range 4 {
		for _, c := range hintTargets("m", others, round) {
			seen[c.Runner]++
		}
	}
	if len(seen) != 4 || seen["e"] != 0 || seen["a"] != 2 || seen["b"] != 2 {
		t.Errorf("hints: %v", seen)
	}
	if got := hintTargets("m", others[:1], 7); len(got) != 1 {
		t.Errorf("one runner: %v", got)
	}
}
