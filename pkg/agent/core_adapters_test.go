package agent

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
)

func (s *coreSim) want(request, adapter string) {
	s.now = s.now.Add(time.Millisecond)
	s.step(AdapterWanted{Request: request, Model: "m", Adapter: adapter})
}

// answered reports whether a request got its adapter.
func (s *coreSim) answered(request string) bool {
	f, ok := s.answers[request]
	return ok && f == nil
}

func adapterSim(t *testing.T) *coreSim {
	t.Helper()
	return readySim(t, true,
		published("adapter", "a1", "model", "m", "bytes", "1MiB"),
		published("adapter", "a2", "model", "m", "bytes", "1MiB"),
		published("adapter", "a3", "model", "m", "bytes", "1MiB"))
}

// Guards against an adapter that is unloaded while a request uses it, and against a request that waits for ever.
func TestPinnedAdaptersStay(t *testing.T) {
	s := adapterSim(t)
	for _, name := range []string{"a1", "a2"} {
		s.want("q-"+name, name)
		if o := s.order(engine.LoadAdapter); o.Adapter != name {
			t.Fatalf("order %+v", o)
		}
		s.answer(nil)
	}
	s.want("q3", "a3")
	if len(s.sent) != 0 || s.answered("q3") {
		t.Fatalf("orders %+v while every slot is in use", s.sent)
	}
	s.step(AdapterDropped{Request: "q-a2"})
	if o := s.order(engine.UnloadAdapter); o.Adapter != "a2" {
		t.Fatalf("evicted %s, which is in use", o.Adapter)
	}
	s.answer(nil)
	if o := s.order(engine.LoadAdapter); o.Adapter != "a3" {
		t.Fatalf("order %+v", o)
	}
	s.answer(nil)
	if !s.answered("q3") {
		t.Fatal("request got no answer")
	}
}

// Guards against an unused adapter that is evicted although another was used longer ago.
func TestLeastRecentlyUsedAdapterGoesFirst(t *testing.T) {
	s := adapterSim(t)
	for i, name := range []string{"a1", "a2", "a1"} {
		id := string(rune('p' + i))
		s.want(id, name)
		if len(s.sent) > 0 {
			s.answer(nil)
		}
		s.now = s.now.Add(time.Millisecond)
		s.step(AdapterDropped{Request: id})
	}
	s.want("q", "a3")
	if o := s.order(engine.UnloadAdapter); o.Adapter != "a2" {
		t.Fatalf("evicted %s", o.Adapter)
	}
}

// Guards against a slot that is reused while a lost load may still take it, and against failures that count as run.
func TestAdapterOrderFailures(t *testing.T) {
	s := adapterSim(t)
	s.want("q1", "a1")
	s.answer(errLost)
	s.want("q2", "a2")
	s.answer(nil)
	s.want("q3", "a3")
	if len(s.sent) != 0 {
		t.Fatalf("orders %+v although both slots may be taken", s.sent)
	}
	s.now = s.now.Add(adapterResend)
	s.step(Tick{})
	if o := s.order(engine.LoadAdapter); o.Adapter != "a1" {
		t.Fatalf("order %+v, want the lost load again", o)
	}
	s.answer(failure.New(failure.MemoryExhausted, failure.NotRun, "adapter does not fit"))
	if f := s.answers["q1"]; f == nil || f.Outcome != failure.NotRun {
		t.Fatalf("answer %v, want not_run", f)
	}
}
