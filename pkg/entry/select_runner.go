package entry

import (
	"context"
	"slices"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/routing"
)

// tryOnce makes one attempt: it selects a runner and sends the exec call to its agent.
func (d *Dispatcher) tryOnce(ctx context.Context, rs *requestState) error {
	if rs.hasOutput() && rs.tokenLimitReached() {
		return rs.sink.End(rs.usage(&ferrypb.End{FinishReason: "length"}))
	}
	snapshot := d.snapshots.Load()
	chosen, err := d.nextRunner(ctx, snapshot, rs)
	if err != nil {
		return err
	}
	rs.attempts++
	rs.tried[chosen.Runner] = true
	err = d.attempt(ctx, snapshot, rs, chosen)
	rs.recordVersion(chosen, err)
	if err != nil && !d.modelPolicy.UsesProbes && rs.request.isGeneration() && isCapacityRefusal(failure.From(err).Code) {
		// Without probes, unmet demand shows only in the refusals of exec calls.
		d.hints.recordUnmet(ctx, snapshot, rs.request.Target)
	}
	return err
}

// nextRunner returns the reserved runner, or else selects one.
func (d *Dispatcher) nextRunner(ctx context.Context, snapshot *Snapshot, rs *requestState) (routing.Candidate, error) {
	if rs.reserved == nil {
		return d.selectRunner(ctx, snapshot, rs)
	}
	chosen := *rs.reserved
	rs.reserved = nil
	return chosen, nil
}

// selectRunner returns the runner for the next attempt. It fails with code NoBackend if there is none.
func (d *Dispatcher) selectRunner(ctx context.Context, snapshot *Snapshot, rs *requestState) (routing.Candidate, error) {
	q := d.query(snapshot, rs)
	policy, candidates := d.candidates(snapshot, rs)
	selected := d.probeCandidates(policy, q, rs, candidates)
	if len(selected) == 0 {
		return routing.Candidate{}, failure.New(failure.NoBackend, failure.NotRun, "no runner is available for "+rs.request.objectName())
	}
	if !policy.UsesProbes {
		c, _ := policy.Pick(q, selected)
		return c, nil
	}
	return d.selectByProbe(ctx, snapshot, q, rs, selected)
}

// candidates returns the runners that can serve the request, and the policy that chooses among them.
func (d *Dispatcher) candidates(snapshot *Snapshot, rs *requestState) (*routing.Policy, []routing.Candidate) {
	if rs.request.isGeneration() {
		return d.modelPolicy, rs.eligible(snapshot.Holders(rs.request.Target))
	}
	return d.servicePolicy, snapshot.ServiceRunners(rs.request.Target)
}

// probeCandidates returns the candidates to probe. If all runners have been tried, it resets that list and starts again
// with all of them.
func (d *Dispatcher) probeCandidates(policy *routing.Policy, q *routing.Query, rs *requestState, candidates []routing.Candidate) []routing.Candidate {
	limit := d.settings.Routing.Probes
	selected := policy.Candidates(q, candidates, limit)
	if len(selected) > 0 || len(rs.tried) == 0 {
		return selected
	}
	clear(rs.tried)
	return policy.Candidates(q, candidates, limit)
}

func (d *Dispatcher) query(snapshot *Snapshot, rs *requestState) *routing.Query {
	return &routing.Query{
		Target:     rs.request.Target,
		Adapter:    rs.request.Adapter,
		PrefixHash: rs.request.PrefixHash,
		Key:        rs.request.IdempotencyKey,
		Region:     d.settings.Host.Region,
		Tried:      rs.tried,
		Suspects:   snapshot.Suspects,
		Now:        d.clock.Now(),
		Rand:       rs.rand,
	}
}

// selectByProbe probes the candidates and picks one. If none responds, it returns the first one. If all that respond
// refuse, it returns a failure, so that no exec call is made.
func (d *Dispatcher) selectByProbe(ctx context.Context, snapshot *Snapshot, q *routing.Query, rs *requestState, selected []routing.Candidate) (routing.Candidate, error) {
	responded := d.prober.probeAll(ctx, snapshot, d.modelPolicy, q, rs, selected)
	if len(responded) == 0 {
		return selected[0], nil
	}
	if allLackCapacity(responded, rs.request.FirstTokenTarget, d.prober.prefill.meetsTarget(rs.request.PromptTokens, rs.request.FirstTokenTarget)) {
		d.hints.recordUnmet(ctx, snapshot, rs.request.Target)
	}
	accepting := slices.DeleteFunc(slices.Clone(responded), func(c routing.Candidate) bool { return !c.Prediction.Accepts })
	if c, ok := d.modelPolicy.Pick(q, accepting); ok {
		return c, nil
	}
	for _, c := range responded {
		rs.tried[c.Runner] = true
	}
	rs.attempts++
	return routing.Candidate{}, allRefused(responded)
}

// allRefused returns the failure for a request that all probed runners refuse, with the code of the first refusal.
func allRefused(responded []routing.Candidate) error {
	code := failure.Code(responded[0].Prediction.Code)
	if code == "" {
		code = failure.Overloaded
	}
	return failure.New(code, failure.NotRun, "all probed runners refuse the request")
}
