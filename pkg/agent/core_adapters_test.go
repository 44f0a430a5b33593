package agent

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
)

func (s *coreSim) requestAdapter(request, adapter string) {
	s.now = s.now.Add(time.Millisecond)
	s.step(AdapterRequested{Request: request, Model: "m", Adapter: adapter})
}

// adapterGranted reports whether a request got its adapter.
func (s *coreSim) adapterGranted(request string) bool {
	f, ok := s.adapterAnswers[request]
	return ok && f == nil
}

func adapterSim(t *testing.T) *coreSim {
	t.Helper()
	return readySim(t, true,
		published("adapter", "a1", "model", "m", "bytes", "1MiB"),
		published("adapter", "a2", "model", "m", "bytes", "1MiB"),
		published("adapter", "a3", "model", "m", "bytes", "1MiB"))
}

// Guards against an adapter that is unloaded while a request uses it, and against a request that is never resolved.
func TestPinnedAdaptersAreNotEvicted(t *testing.T) {
	s := adapterSim(t)
	for _, name := range []string{"a1", "a2"} {
		s.requestAdapter("q-"+name, name)
		if o := s.waitOrder(engine.LoadAdapter); o.Adapter != name {
			t.Fatalf("load order %+v, want adapter %s", o, name)
		}
		s.answerOrder(nil)
	}
	s.requestAdapter("q3", "a3")
	if len(s.unanswered) != 0 || s.adapterGranted("q3") {
		t.Fatalf("orders %+v while every slot is in use, want none and no grant", s.unanswered)
	}
	s.step(AdapterReleased{Request: "q-a2"})
	if o := s.waitOrder(engine.UnloadAdapter); o.Adapter != "a2" {
		t.Fatalf("evicted adapter %s, which is in use, want a2", o.Adapter)
	}
	s.answerOrder(nil)
	if o := s.waitOrder(engine.LoadAdapter); o.Adapter != "a3" {
		t.Fatalf("load order %+v, want adapter a3", o)
	}
	s.answerOrder(nil)
	if !s.adapterGranted("q3") {
		t.Fatal("request q3 did not get its adapter")
	}
}

// Guards against the eviction of an adapter although another unused one was used longer ago.
func TestLeastRecentlyUsedAdapterIsEvicted(t *testing.T) {
	s := adapterSim(t)
	for i, name := range []string{"a1", "a2", "a1"} {
		id := string(rune('p' + i))
		s.requestAdapter(id, name)
		if len(s.unanswered) > 0 {
			s.answerOrder(nil)
		}
		s.now = s.now.Add(time.Millisecond)
		s.step(AdapterReleased{Request: id})
	}
	s.requestAdapter("q", "a3")
	if o := s.waitOrder(engine.UnloadAdapter); o.Adapter != "a2" {
		t.Fatalf("evicted adapter %s, want a2", o.Adapter)
	}
}

// Guards against a slot that is reused while an unanswered load may still occupy it, and against a refused load that is
// reported to the request with another outcome than not_run.
func TestAdapterOrderFailures(t *testing.T) {
	s := adapterSim(t)
	s.requestAdapter("q1", "a1")
	s.answerOrder(errNoResponse)
	s.requestAdapter("q2", "a2")
	s.answerOrder(nil)
	s.requestAdapter("q3", "a3")
	if len(s.unanswered) != 0 {
		t.Fatalf("orders %+v while both slots may be occupied, want none", s.unanswered)
	}
	s.now = s.now.Add(adapterResendDelay)
	s.step(Tick{})
	if o := s.waitOrder(engine.LoadAdapter); o.Adapter != "a1" {
		t.Fatalf("order %+v, want the load of a1 sent again", o)
	}
	s.answerOrder(failure.New(failure.MemoryExhausted, failure.NotRun, "adapter does not fit"))
	if f := s.adapterAnswers["q1"]; f == nil || f.Outcome != failure.NotRun {
		t.Fatalf("result of request q1: %v, want outcome not_run", f)
	}
}

// Guards against requests that wait until the end of a log outage, at an agent that restarted during it, for an adapter
// that is resident at another runner: without a fencing token the agent cannot load it.
func TestUnannouncedAgentRefusesAbsentAdapters(t *testing.T) {
	s := adapterSim(t)
	s.requestAdapter("q1", "a1")
	s.answerOrder(nil)
	s.report.Models[0].Adapters = []string{"a1"}
	s.logDown = true
	s.restart(simIdentity("i2", true))
	s.advance(time.Second)
	s.requestAdapter("q2", "a1")
	s.requestAdapter("q3", "a2")
	if !s.adapterGranted("q2") {
		t.Error("request for a resident adapter was not granted before the announcement")
	}
	if f := s.adapterAnswers["q3"]; f == nil || f.Code != failure.NotLoaded || f.Outcome != failure.NotRun {
		t.Errorf("answer for an adapter that is not resident: %v, want code not_loaded as not_run", f)
	}
	for adapter, want := range map[string]bool{"a1": false, "a2": true} {
		refusal := probeRefusal(s.core.view, &ferrypb.ProbeRequest{Target: "m", Adapter: adapter}, nil)
		if refused := refusal != nil && refusal.Code == failure.NotLoaded; refused != want {
			t.Errorf("probe for adapter %s: refusal %v, want refused %v", adapter, refusal, want)
		}
	}
	if len(s.unanswered) != 0 {
		t.Errorf("orders %+v before the announcement, want none", s.unanswered)
	}
}
