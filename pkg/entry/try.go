package entry

import (
	"context"
	"slices"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/routing"
)

// try makes one attempt: it selects a runner and runs the exec call there.
func (d *Dispatcher) try(ctx context.Context, j *job) error {
	if j.started() && j.exhausted() {
		return j.sink.End(j.usage(&ferrypb.End{FinishReason: "length"}))
	}
	snapshot := d.snapshots.Load()
	chosen, err := d.choose(ctx, snapshot, j)
	if err != nil {
		return err
	}
	j.attempts++
	j.tried[chosen.Runner] = true
	err = d.attempt(ctx, snapshot, j, chosen)
	if err != nil && !d.policy.Probes && j.request.generation() && capacityCode(failure.From(err).Code) {
		// Without probes only the refusals of agents show unmet demand.
		d.hinter.missed(ctx, snapshot, j.request.Target)
	}
	return err
}

func (d *Dispatcher) choose(ctx context.Context, snapshot *Snapshot, j *job) (routing.Candidate, error) {
	q := d.query(snapshot, j)
	policy, candidates := d.holders(snapshot, j)
	selected := d.selectFrom(policy, q, j, candidates)
	if len(selected) == 0 {
		return routing.Candidate{}, failure.New(failure.NoBackend, failure.NotRun, "no runner is available for "+j.request.object())
	}
	if !policy.Probes {
		c, _ := policy.Pick(q, selected)
		return c, nil
	}
	return d.chooseByProbe(ctx, snapshot, q, j, selected)
}

// holders returns the runners that hold what the request needs, and the policy that chooses among them.
func (d *Dispatcher) holders(snapshot *Snapshot, j *job) (*routing.Policy, []routing.Candidate) {
	if j.request.generation() {
		return d.policy, j.usable(snapshot.Holders(j.request.Target))
	}
	return d.services, snapshot.Providers(j.request.Target)
}

// selectFrom returns the candidates to probe. When every holder has failed the request, all get another chance.
func (d *Dispatcher) selectFrom(policy *routing.Policy, q *routing.Query, j *job, candidates []routing.Candidate) []routing.Candidate {
	limit := d.settings.Routing.Probes
	selected := policy.Candidates(q, candidates, limit)
	if len(selected) > 0 || len(j.tried) == 0 {
		return selected
	}
	clear(j.tried)
	return policy.Candidates(q, candidates, limit)
}

func (d *Dispatcher) query(snapshot *Snapshot, j *job) *routing.Query {
	return &routing.Query{
		Target:     j.request.Target,
		Adapter:    j.request.Adapter,
		PrefixHash: j.request.PrefixHash,
		Key:        j.request.Key,
		Region:     d.settings.Host.Region,
		Tried:      j.tried,
		Suspects:   snapshot.Suspects,
		Now:        d.clock.Now(),
		Rand:       j.rand,
	}
}

// chooseByProbe asks the candidates and picks one. If none answers, the first is tried directly; if all
// that answer refuse, the request is refused without an exec call.
func (d *Dispatcher) chooseByProbe(ctx context.Context, snapshot *Snapshot, q *routing.Query, j *job, selected []routing.Candidate) (routing.Candidate, error) {
	answered := d.prober.probe(ctx, snapshot, d.policy, q, j, selected)
	if len(answered) == 0 {
		return selected[0], nil
	}
	if missesTarget(answered, j.request.FirstToken, d.prober.rate.fits(j.request.PromptTokens, j.request.FirstToken)) {
		d.hinter.missed(ctx, snapshot, j.request.Target)
	}
	accepting := slices.DeleteFunc(slices.Clone(answered), func(c routing.Candidate) bool { return !c.Prediction.Accepts })
	if c, ok := d.policy.Pick(q, accepting); ok {
		return c, nil
	}
	for _, c := range answered {
		j.tried[c.Runner] = true
	}
	j.attempts++
	return routing.Candidate{}, refusal(answered)
}

func refusal(answered []routing.Candidate) error {
	code := failure.Code(answered[0].Prediction.Code)
	if code == "" {
		code = failure.Overloaded
	}
	return failure.New(code, failure.NotRun, "every probed runner refuses the request")
}
