package routing

import (
	"slices"
	"testing"
	"time"
)

// Guards against long prompts at servers for short ones when both are equally loaded, against a length that counts cached
// tokens, and against an effect where the kinds do not meet.
func TestSeparationPutsEachLengthOnItsServers(t *testing.T) {
	s := SeparationScorer{Cost: 100 * time.Millisecond, ShortTokens: 1000, LongTokens: 5000}
	cost := func(separate, forLong bool, uncached int) time.Duration {
		return s.Score(&Query{SeparateLengths: separate}, Candidate{ForLongPrompts: forLong, Prediction: &Prediction{UncachedTokens: uncached, BacklogTokens: 90000}})
	}
	for _, c := range []struct {
		separate, forLong bool
		uncached          int
		want              time.Duration
	}{
		{true, true, 8000, 0}, {true, false, 8000, s.Cost}, {true, true, 300, s.Cost}, {true, false, 300, 0},
		{true, true, 3000, s.Cost / 2}, {true, false, 3000, s.Cost / 2}, {false, false, 8000, 0}, {false, true, 300, 0},
	} {
		if got := cost(c.separate, c.forLong, c.uncached); got != c.want {
			t.Errorf("kept apart %t, server for long prompts %t, %d tokens: cost %v, want %v", c.separate, c.forLong, c.uncached, got, c.want)
		}
	}
	if got := s.Score(&Query{SeparateLengths: true}, Candidate{}); got != 0 {
		t.Errorf("cost of a candidate without a prediction: %v, want 0", got)
	}
}

// Guards against equal treatment of a backlog at servers of other speed: at double speed, twice the tokens delay the
// streams for as long.
func TestBacklogCostsByTheTimeItTakes(t *testing.T) {
	s := BacklogScorer{Cost: time.Millisecond, PerStream: 0.3}
	cost := func(tokens int, slowness float64) time.Duration {
		return s.Score(nil, Candidate{Prediction: &Prediction{BacklogTokens: tokens, Streams: 10, Slowness: slowness}})
	}
	if usual, fast := cost(6000, 1), cost(12000, 0.5); usual != fast {
		t.Errorf("cost of 6,000 tokens: %v, of 12,000 at double speed: %v, want the same", usual, fast)
	}
	if unknown, usual := cost(6000, 0), cost(6000, 1); unknown != usual {
		t.Errorf("cost at unknown speed: %v, want that at the usual one, %v", unknown, usual)
	}
}

// Guards against an order that depends on the order of the list, or that changes for the others when a server is lost.
func TestRendezvousOrderIsStable(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e"}
	want := slices.Clone(all)
	RendezvousOrder("m", want)
	for i := range all {
		turned := slices.Concat(all[i:], all[:i])
		RendezvousOrder("m", turned)
		if !slices.Equal(turned, want) {
			t.Errorf("order of %v: %v, want %v", slices.Concat(all[i:], all[:i]), turned, want)
		}
		left := slices.Delete(slices.Clone(all), i, i+1)
		RendezvousOrder("m", left)
		rest := slices.DeleteFunc(slices.Clone(want), func(r string) bool { return r == all[i] })
		if !slices.Equal(left, rest) {
			t.Errorf("order without %s: %v, want %v", all[i], left, rest)
		}
	}
}
