package entry

import (
	"context"
	"maps"

	"trefoilferry.example/ferry/pkg/routing"
)

// reserveAttempt chooses and pays for an attempt that may replace the running one at a silent runner. It returns false,
// and changes nothing, if the retry rules permit no other attempt, no other runner is known to accept the request, or
// superseded reports that the silent runner has responded.
func (d *Dispatcher) reserveAttempt(ctx context.Context, rs *requestState, silent routing.Candidate, superseded func() bool) bool {
	delivered := rs.sink.Delivered()
	if rs.attempts >= d.settings.Retry.MaxAttempts || (delivered && !d.resumable(rs)) {
		return false
	}
	next, ok := d.otherRunner(ctx, rs, silent)
	if !ok || ctx.Err() != nil || superseded() {
		return false
	}
	if !delivered {
		if paid, _ := d.budget.take(d.clock.Now(), rs.request.Target); !paid {
			return false
		}
	}
	rs.reserved = &next
	return true
}

// otherRunner selects a runner that was not tried, is not suspected and, if runners are probed, has accepted the request.
func (d *Dispatcher) otherRunner(ctx context.Context, rs *requestState, silent routing.Candidate) (routing.Candidate, bool) {
	snapshot := d.snapshots.Load()
	// The selection changes its state, which must stay as it is if the running attempt goes on.
	trial := *rs
	trial.tried = maps.Clone(rs.tried)
	chosen, err := d.selectRunner(ctx, snapshot, &trial)
	if err != nil || chosen.Runner == silent.Runner || rs.tried[chosen.Runner] {
		return routing.Candidate{}, false
	}
	if d.clock.Now().Before(snapshot.Suspects[chosen.Runner]) {
		return routing.Candidate{}, false
	}
	accepts := chosen.Prediction != nil && chosen.Prediction.Accepts
	return chosen, accepts || !d.modelPolicy.UsesProbes
}
