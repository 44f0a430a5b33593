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

// AgentClient makes unary calls to agents. Addresses are an IP address and a port.
type AgentClient interface {
	Probe(ctx context.Context, address string, p *ferrypb.ProbeRequest) (*ferrypb.ProbeResponse, error)
	Hint(ctx context.Context, address string, h *ferrypb.HintRequest) (*ferrypb.HintResponse, error)
}

// Prober asks candidate runners for their predicted time to the first token.
type Prober struct {
	agents   AgentClient
	settings *Settings
	ring     *timeline.Ring
	reporter Reporter
	clock    clock.Clock
	metrics  *Metrics
	prefill  prefillRate
}

func newProber(p DispatcherConfig) *Prober {
	return &Prober{agents: p.Agents, settings: p.Settings, ring: p.Ring, reporter: p.Reporter, clock: p.Clock, metrics: p.Metrics}
}

// probeResult is the result of one probe. The candidate's Prediction is nil if it did not respond in time.
type probeResult struct {
	candidate routing.Candidate
	index     int
}

// probeAll probes all candidates concurrently and returns those that responded. It returns early when no outstanding
// probe could still result in a lower score than the best accepting candidate.
func (p *Prober) probeAll(ctx context.Context, snapshot *Snapshot, policy *routing.Policy, q *routing.Query, rs *requestState, candidates []routing.Candidate) []routing.Candidate {
	results := make(chan probeResult, len(candidates))
	for i, c := range candidates {
		message := p.newProbeRequest(snapshot, rs)
		go func() { results <- probeResult{candidate: p.probeOne(ctx, c, message), index: i} }()
	}
	outstanding := make([]bool, len(candidates))
	for i := range outstanding {
		outstanding[i] = true
	}
	var responded []routing.Candidate
	for range candidates {
		r := <-results
		outstanding[r.index] = false
		if r.candidate.Prediction != nil {
			responded = append(responded, r.candidate)
		}
		if hasWinner(policy, q, responded, candidates, outstanding) {
			break
		}
	}
	return responded
}

// hasWinner reports whether an accepting candidate has a score that no outstanding one can beat, even with its lowest
// possible score.
func hasWinner(policy *routing.Policy, q *routing.Query, responded, candidates []routing.Candidate, outstanding []bool) bool {
	for _, a := range responded {
		if !a.Prediction.Accepts {
			continue
		}
		canBeBeaten := false
		for i, c := range candidates {
			canBeBeaten = canBeBeaten || (outstanding[i] && policy.MinScore(q, c) < policy.Score(q, a))
		}
		if !canBeBeaten {
			return true
		}
	}
	return false
}

func (p *Prober) newProbeRequest(snapshot *Snapshot, rs *requestState) *ferrypb.ProbeRequest {
	return &ferrypb.ProbeRequest{
		RequestId:    rs.request.ID,
		Target:       rs.request.Target,
		Adapter:      rs.request.Adapter,
		Workspace:    rs.request.Workspace,
		Priority:     rs.request.Priority,
		PromptTokens: rs.request.PromptTokens,
		PrefixHash:   rs.request.PrefixHash,
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

// probeOne probes one candidate. After an early return of probeAll it continues until the response or its timeout.
func (p *Prober) probeOne(ctx context.Context, c routing.Candidate, message *ferrypb.ProbeRequest) routing.Candidate {
	bounded, cancel := context.WithTimeout(ctx, p.timeout(c))
	defer cancel()
	started := p.clock.Now()
	response, err := p.agents.Probe(bounded, c.Address, message)
	p.metrics.observeProbe(p.clock.Now().Sub(started), err == nil)
	c.Prediction = nil
	if err != nil {
		if ctx.Err() == nil {
			p.reporter.RunnerFailed(c.Runner)
		}
		return c
	}
	p.prefill.observe(message.GetPromptTokens(), response)
	p.ring.Observe(response.GetLamport())
	p.reporter.ObserveConfigOffset(response.GetConfigOffset())
	p.reporter.RunnerResponded(c.Runner)
	c.Prediction = newPrediction(c, response)
	return c
}

// newPrediction converts a probe response. A response from another incarnation of the agent counts as a refusal.
func newPrediction(c routing.Candidate, r *ferrypb.ProbeResponse) *routing.Prediction {
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

// allLackCapacity reports whether every candidate that responded lacks the capacity to meet the target. Another copy
// would not help with refusals for other reasons, such as a cap, nor with late predictions for a prompt whose prefill
// alone takes longer than the target (promptFits is false).
func allLackCapacity(responded []routing.Candidate, target time.Duration, promptFits bool) bool {
	for _, c := range responded {
		if !lacksCapacity(c.Prediction, target, promptFits) {
			return false
		}
	}
	return true
}

func lacksCapacity(p *routing.Prediction, target time.Duration, promptFits bool) bool {
	if p.Accepts {
		return promptFits && target > 0 && p.FirstToken > target
	}
	return isCapacityRefusal(failure.Code(p.Code))
}

// isCapacityRefusal reports whether a refusal means that the copy is overloaded.
func isCapacityRefusal(code failure.Code) bool {
	return code == failure.TargetMissed || code == failure.Overloaded
}
