package agent

import (
	"context"
	"testing"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/faults"
)

const longPrompt = `{"prompt":"ferry over the bosporus","max_tokens":400}`

// servingBed returns an agent whose engine serves model m with adapters a1 to a3.
func servingBed(t *testing.T) *testbed {
	t.Helper()
	b := newEngineBed(t)
	b.settings.Backend.AdapterSlots = 2
	b.publish("c1", published("model", "m", modelObject("m")...), published("workspace", "w"),
		published("adapter", "a1", "model", "m", "bytes", "1MiB"),
		published("adapter", "a2", "model", "m", "bytes", "1MiB"),
		published("adapter", "a3", "model", "m", "bytes", "1MiB"))
	b.start("i1")
	b.eventually("model served", func() bool { return b.serving("m") })
	return b
}

// Guards against refusals without evidence that nothing ran, and against answers by the wrong incarnation.
func TestGenerationRefusals(t *testing.T) {
	b := servingBed(t)
	wrong := generation("q1", "m")
	wrong.AgentIncarnation = "i0"
	version := generation("q2", "m")
	version.ModelVersion = "2"
	adapter := generation("q3", "m")
	adapter.Adapter = "unpublished"
	cases := []struct {
		got  answer
		want failure.Code
	}{
		{b.exec(context.Background(), wrong, shortPrompt, nil), failure.WrongIncarnation},
		{b.exec(context.Background(), version, shortPrompt, nil), failure.NotLoaded},
		{b.exec(context.Background(), adapter, shortPrompt, nil), failure.NotFound},
		{b.exec(context.Background(), generation("q5", "unknown"), shortPrompt, nil), failure.NotLoaded},
		{b.exec(context.Background(), generation("q6", "m"), "no JSON", nil), failure.BadRequest},
		{b.exec(context.Background(), serviceCallOf("q7", ""), "", nil), failure.NotFound},
	}
	for _, c := range cases {
		if !c.got.refusedWith(c.want, failure.NotRun) {
			t.Errorf("got %+v, want %s as not_run", c.got, c.want)
		}
	}
}

// Guards against a request that waits behind long prefills although its target is lost, and against a prompt that is
// refused by an idle runner because its own prefill takes longer than the target.
func TestLateGenerationIsRefusedEarly(t *testing.T) {
	b := servingBed(t)
	long := generation("q1", "m")
	long.PromptTokens = 10_000_000
	long.FirstTokenMillis = 100
	b.engine.Faults.Set(faults.Switches{DelayMillis: 1000})
	done := make(chan answer, 1)
	go func() { done <- b.exec(context.Background(), long, shortPrompt, nil) }()
	b.eventually("long prefill runs", func() bool {
		_, running := b.daemon.gate.Load()
		return running == 1
	})
	late := generation("q2", "m")
	late.FirstTokenMillis = 100
	if got := b.exec(context.Background(), late, shortPrompt, nil); !got.refusedWith(failure.TargetMissed, failure.NotRun) {
		t.Errorf("got %+v, want target_missed as not_run", got)
	}
	if got := <-done; got.err != nil || got.end == nil {
		t.Errorf("long prompt: %+v", got)
	}
}

// Guards against a broken stream that looks complete or not run.
func TestBrokenStreamIsUnknown(t *testing.T) {
	b := servingBed(t)
	b.engine.Faults.Set(faults.Switches{BreakStreamAfterTokens: 3, BreakStreams: 1})
	got := b.exec(context.Background(), generation("q1", "m"), longPrompt, nil)
	if got.end != nil || got.err == nil || failure.From(got.err).Outcome != failure.Unknown || got.text == "" {
		t.Fatalf("answer %+v", got)
	}
}

// Guards against work that goes on at the engine after its caller has left, and against a slot that is not given back.
func TestCallerThatLeavesCancelsTheWork(t *testing.T) {
	b := servingBed(t)
	ctx, cancel := context.WithCancel(context.Background())
	b.exec(ctx, generation("q1", "m"), `{"prompt":"ferry","max_tokens":100000}`, cancel)
	b.eventually("engine and queue idle", func() bool {
		report := b.daemon.view.Load().Report
		_, running := b.daemon.gate.Load()
		return report.Running == 0 && report.Waiting == 0 && running == 0
	})
}

// Guards against adapters beyond the slots, and against requests that fail because their adapter is not resident yet.
func TestAdaptersAreLoadedOnDemand(t *testing.T) {
	b := servingBed(t)
	for i, name := range []string{"a1", "a2", "a3", "a1"} {
		request := generation("q"+string(rune('1'+i)), "m")
		request.Adapter = name
		if got := b.exec(context.Background(), request, shortPrompt, nil); got.end == nil {
			t.Fatalf("adapter %s: %+v", name, got)
		}
		if n := len(b.daemon.view.Load().Adapters); n > 2 {
			t.Fatalf("%d adapters resident in 2 slots", n)
		}
	}
}

// Guards against a second run of the engine's work when the answer of a load order is lost.
func TestLostLoadAnswerStillServes(t *testing.T) {
	b := newEngineBed(t)
	b.engine.Faults.Set(faults.Switches{DropOrder: 2})
	b.publish("c1", published("model", "m", modelObject("m")...))
	b.start("i1")
	b.eventually("model served", func() bool { return b.serving("m") })
	if got := b.exec(context.Background(), generation("q1", "m"), shortPrompt, nil); got.end == nil {
		t.Fatalf("answer %+v", got)
	}
}
