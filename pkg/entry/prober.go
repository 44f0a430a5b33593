package entry

import (
	"context"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/routing"
	"trefoilferry.example/ferry/pkg/timeline"
)

// Agents makes unary calls to agents at an IP address and port.
type Agents interface {
	Probe(ctx context.Context, address string, p *ferrypb.ProbeRequest) (*ferrypb.ProbeResponse, error)
	Hint(ctx context.Context, address string, h *ferrypb.HintRequest) (*ferrypb.HintResponse, error)
}

// Prober asks candidates for predictions.
type Prober struct {
	agents   Agents
	settings *Settings
	ring     *timeline.Ring
	reporter Reporter
	clock    clock.Clock
	metrics  *Metrics
	rate     idleRate
}

func newProber(p DispatcherParts) *Prober {
	return &Prober{agents: p.Agents, settings: p.Settings, ring: p.Ring, reporter: p.Reporter, clock: p.Clock, metrics: p.Metrics}
}

// probeResult is the answer of one candidate; its Prediction is nil when the candidate did not answer in time.
type probeResult struct {
	candidate routing.Candidate
	index     int
}

// probe asks all candidates at once and returns those that answered. It returns early when no outstanding
// answer could have a lower score than the best accepting one.
func (p *Prober) probe(ctx context.Context, snapshot *Snapshot, policy *routing.Policy, q *routing.Query, j *job, candidates []routing.Candidate) []routing.Candidate {
	results := make(chan probeResult, len(candidates))
	for i, c := range candidates {
		message := p.message(snapshot, j)
		go func() { results <- probeResult{candidate: p.ask(ctx, c, message), index: i} }()
	}
	outstanding := make([]bool, len(candidates))
	for i := range outstanding {
		outstanding[i] = true
	}
	var answered []routing.Candidate
	for range candidates {
		r := <-results
		outstanding[r.index] = false
		if r.candidate.Prediction != nil {
			answered = append(answered, r.candidate)
		}
		if decided(policy, q, answered, candidates, outstanding) {
			break
		}
	}
	return answered
}

// decided reports whether an accepting candidate beats every outstanding one at its best.
func decided(policy *routing.Policy, q *routing.Query, answered, candidates []routing.Candidate, outstanding []bool) bool {
	for _, a := range answered {
		if !a.Prediction.Accepts {
			continue
		}
		beaten := false
		for i, c := range candidates {
			beaten = beaten || (outstanding[i] && policy.Cost(q, c) < policy.Score(q, a))
		}
		if !beaten {
			return true
		}
	}
	return false
}

func (p *Prober) message(snapshot *Snapshot, j *job) *ferrypb.ProbeRequest {
	return &ferrypb.ProbeRequest{
		RequestId:    j.request.ID,
		Target:       j.request.Target,
		Adapter:      j.request.Adapter,
		Workspace:    j.request.Workspace,
		Priority:     j.request.Priority,
		PromptTokens: j.request.PromptTokens,
		PrefixHash:   j.request.PrefixHash,
		ConfigOffset: snapshot.ConfigOffset,
		Lamport:      p.ring.Tick(),
	}
}

func (p *Prober) timeout(c routing.Candidate) time.Duration {
	if c.Region == p.settings.Host.Region {
		return p.settings.Routing.ProbeTimeout
	}
	return p.settings.Routing.ProbeTimeoutRemote
}

// ask probes one candidate. It outlives an early return of probe by at most its timeout.
func (p *Prober) ask(ctx context.Context, c routing.Candidate, message *ferrypb.ProbeRequest) routing.Candidate {
	bounded, cancel := context.WithTimeout(ctx, p.timeout(c))
	defer cancel()
	started := p.clock.Now()
	response, err := p.agents.Probe(bounded, c.Address, message)
	p.metrics.probe(p.clock.Now().Sub(started), err == nil)
	c.Prediction = nil
	if err != nil {
		if ctx.Err() == nil {
			p.reporter.RunnerFailed(c.Runner)
		}
		return c
	}
	p.rate.learn(message.GetPromptTokens(), response)
	p.ring.Observe(response.GetLamport())
	p.reporter.Observed(response.GetConfigOffset())
	p.reporter.RunnerAnswered(c.Runner)
	c.Prediction = prediction(c, response)
	return c
}

func prediction(c routing.Candidate, r *ferrypb.ProbeResponse) *routing.Prediction {
	out := &routing.Prediction{
		Accepts:         r.GetAccepts(),
		Code:            r.GetCode(),
		FirstToken:      time.Duration(r.GetFirstTokenMicros()) * time.Microsecond,
		AdapterResident: r.GetAdapterResident(),
	}
	if c.Incarnation != "" && r.GetIncarnation() != c.Incarnation {
		out.Accepts = false
		out.Code = string(failure.WrongIncarnation)
	}
	return out
}

// missesTarget reports whether every candidate that answered lacks the capacity to meet the target.
// Refusals for other reasons, such as a cap, would not be cured by another copy; neither would late predictions for
// a prompt that does not fit, that is, whose prefill alone takes longer than the target.
func missesTarget(answered []routing.Candidate, target time.Duration, fits bool) bool {
	for _, c := range answered {
		if !lacksCapacity(c.Prediction, target, fits) {
			return false
		}
	}
	return true
}

func lacksCapacity(p *routing.Prediction, target time.Duration, fits bool) bool {
	if p.Accepts {
		return fits && target > 0 && p.FirstToken > target
	}
	return capacityCode(failure.Code(p.Code))
}

// capacityCode reports whether a refusal shows that a copy is busy.
func capacityCode(code failure.Code) bool {
	return code == failure.TargetMissed || code == failure.Overloaded
}
