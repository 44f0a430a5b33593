package entry

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/routing"
)

// Guards against unmet demand reported for prompts that no runner could serve in time, which loads useless copies, and
// against real unmet demand that is taken for such prompts.
func TestAllLackCapacity(t *testing.T) {
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
	rate := &prefillRate{}
	// The rate is 1,000 tokens/s on an idle runner. Queueing at busy runners and cached tokens must not change it.
	for _, p := range []*ferrypb.ProbeResponse{{FirstTokenMicros: 4e6}, {FirstTokenMicros: 1e6}, {FirstTokenMicros: 1e5, CachedTokens: 960}, {FirstTokenMicros: 5e5, CachedTokens: 500}} {
		rate.observe(1000, p)
	}
	for _, tt := range tests {
		var answered []routing.Candidate
		for _, p := range tt.answer {
			answered = append(answered, routing.Candidate{Prediction: p})
		}
		if got := allLackCapacity(answered, target, rate.meetsTarget(tt.prompt, target)); got != tt.want {
			t.Errorf("%s: all lack capacity: %v, want %v", tt.name, got, tt.want)
		}
	}
	if !(&prefillRate{}).meetsTarget(1e6, target) {
		t.Error("an unknown rate misses the target, want it to meet the target")
	}
}

// Guards against a high rate of unmet requests after a single late request, which would load a copy for it.
func TestUnmetRate(t *testing.T) {
	h := &HintSender{unmet: map[string]*unmetRate{}}
	at := time.Unix(1000, 0)
	if rate, _, due := h.count("m", at); !due || rate > 0.101 {
		t.Errorf("one request: rate %v and due %v, want about 0.1 and true", rate, due)
	}
	last := 0.0
	for i := range 200 {
		if rate, _, due := h.count("m", at.Add(time.Duration(i)*100*time.Millisecond)); due {
			last = rate
		}
	}
	if last < 8 || last > 12 {
		t.Errorf("rate at 10 requests/s: %v, want 8 to 12", last)
	}
	if rate, _, due := h.count("m", at.Add(time.Hour)); !due || rate > 0.101 {
		t.Errorf("one request after a pause: rate %v and due %v, want about 0.1 and true", rate, due)
	}
}

// Guards against hints that always go to the same two runners, even if these lack the memory for a copy.
func TestHintTargetsRotate(t *testing.T) {
	var others []routing.Candidate
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		others = append(others, routing.Candidate{Runner: name})
	}
	others[4].Draining = true
	seen := map[string]int{}
	for round := range 4 {
		for _, c := range hintTargets("m", others, round) {
			seen[c.Runner]++
		}
	}
	if len(seen) != 4 || seen["e"] != 0 || seen["a"] != 2 || seen["b"] != 2 {
		t.Errorf("hints by runner in 4 rounds: %v, want 2 each for a to d and none for the leaving runner e", seen)
	}
	if got := hintTargets("m", others[:1], 7); len(got) != 1 {
		t.Errorf("targets with a single runner: %v, want 1", got)
	}
}
