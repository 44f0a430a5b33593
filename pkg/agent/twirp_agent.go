package agent

import (
	"context"
	"sync/atomic"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/queue"
	"trefoilferry.example/ferry/pkg/timeline"
)

// ControlServer serves the twirp service Agent.
type ControlServer struct {
	View      *atomic.Pointer[View]
	Admission *AdmissionQueue
	Prefixes  *PrefixIndex
	Chains    *PromptChains
	Clock     clock.Clock
	Ring      *timeline.Ring
	Send      func(Event)
	// RefreshConfig is called with the config offset of a message that exceeds the agent's own.
	RefreshConfig func(offset uint64)
}

var _ ferrypb.Agent = (*ControlServer)(nil)

// Probe predicts how a request would be served if it arrived now.
func (s *ControlServer) Probe(_ context.Context, in *ferrypb.ProbeRequest) (*ferrypb.ProbeResponse, error) {
	view := s.observe(in.GetLamport(), in.GetConfigOffset())
	request := s.probeRequest(view, in)
	prediction := s.Admission.Predict(request)
	waiting, running := s.Admission.Load()
	out := &ferrypb.ProbeResponse{
		Incarnation:         view.ServingIncarnation,
		Accepts:             true,
		FirstTokenMicros:    prediction.FirstToken.Microseconds(),
		BetweenTokensMicros: prediction.BetweenTokens.Microseconds(),
		Queued:              uint32(waiting),
		Running:             uint32(running),
		CachedTokens:        request.CachedTokens,
		AdapterResident:     in.GetAdapter() != "" && view.Adapters[AdapterKey{Model: in.GetTarget(), Adapter: in.GetAdapter()}],
		ConfigOffset:        view.ConfigOffset(),
		Lamport:             s.Ring.Tick(),
	}
	if f := probeRefusal(view, in, prediction.Refusal); f != nil {
		out.Accepts = false
		out.Code = string(f.Code)
	}
	return out, nil
}

func probeRefusal(view *View, in *ferrypb.ProbeRequest, predicted *failure.Failure) *failure.Failure {
	if view.Refusal != nil {
		return view.Refusal
	}
	if view.Identity.Service != "" {
		if in.GetTarget() != view.Identity.Service {
			return failure.New(failure.NotFound, failure.NotRun, "runner serves another service")
		}
		return nil
	}
	if _, ok := view.Models[in.GetTarget()]; !ok {
		return failure.New(failure.NotLoaded, failure.NotRun, "model is not loaded here")
	}
	if in.GetAdapter() != "" && !view.servesAdapter(AdapterKey{Model: in.GetTarget(), Adapter: in.GetAdapter()}) {
		return failure.New(failure.NotLoaded, failure.NotRun, "adapter is not resident here and cannot be loaded yet")
	}
	return predicted
}

// probeRequest returns the queue request for a probe. It sets no target time for the first token, because the entry host
// compares the predicted times itself.
func (s *ControlServer) probeRequest(view *View, in *ferrypb.ProbeRequest) queue.Request {
	blocks := s.Chains.ExpectedBlocks(in.GetTarget(), in.GetPrefixHash())
	return queue.Request{
		ID:           "probe/" + in.GetRequestId(),
		Workspace:    in.GetWorkspace(),
		Model:        in.GetTarget(),
		Adapter:      in.GetAdapter(),
		Priority:     in.GetPriority(),
		Arrived:      s.Clock.Now(),
		PromptTokens: in.GetPromptTokens(),
		CachedTokens: max(s.Prefixes.PrefixTokens(in.GetTarget(), in.GetPrefixHash()), s.Prefixes.CachedTokens(in.GetTarget(), blocks)),
		Blocks:       blocks,
		AdapterWait:  adapterWait(view, in.GetTarget(), in.GetAdapter()),
	}
}

// Hint accepts the rate of requests that no copy of a model can serve in time.
func (s *ControlServer) Hint(_ context.Context, in *ferrypb.HintRequest) (*ferrypb.HintResponse, error) {
	s.observe(in.GetLamport(), in.GetConfigOffset())
	s.Send(HintReceived{Model: in.GetModel(), UnmetPerSecond: in.GetUnmetPerSecond()})
	return &ferrypb.HintResponse{Lamport: s.Ring.Tick()}, nil
}

// Ping returns the agent's incarnation and state, as a liveness check.
func (s *ControlServer) Ping(_ context.Context, in *ferrypb.PingRequest) (*ferrypb.PingResponse, error) {
	view := s.observe(in.GetLamport(), in.GetConfigOffset())
	return &ferrypb.PingResponse{
		Incarnation:  view.Identity.Incarnation,
		Fencing:      view.Fencing,
		Leaving:      view.Leaving,
		ConfigOffset: view.ConfigOffset(),
		Lamport:      s.Ring.Tick(),
	}, nil
}

// observe updates the Lamport clock, requests a read of the configuration if the caller's is newer, and returns the view.
func (s *ControlServer) observe(lamport, configOffset uint64) *View {
	s.Ring.Observe(lamport)
	view := s.View.Load()
	if configOffset > view.ConfigOffset() {
		s.RefreshConfig(configOffset)
	}
	return view
}
