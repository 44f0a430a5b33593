package routing

import (
	"testing"
	"time"
)

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
