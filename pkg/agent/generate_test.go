package agent

import (
	"context"
	"testing"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/faults"
)

const longPrompt = `{"prompt":"ferry over the bosporus","max_tokens":400}`

// newServingTestbed returns an agent whose engine serves model m with adapters a1 to a3.
func newServingTestbed(t *testing.T) *testbed {
	t.Helper()
	b := newEngineTestbed(t)
	b.settings.Backend.AdapterSlots = 2
	b.publish("c1", published("model", "m", modelValues("m")...), published("workspace", "w"),
		published("adapter", "a1", "model", "m", "bytes", "1MiB"),
		published("adapter", "a2", "model", "m", "bytes", "1MiB"),
		published("adapter", "a3", "model", "m", "bytes", "1MiB"))
	b.start("i1")
	b.eventually("model served", func() bool { return b.serving("m") })
	return b
}

// Guards against refusals whose outcome is not not_run, and against requests served by the wrong incarnation.
func TestGenerationRefusals(t *testing.T) {
	b := newServingTestbed(t)
	wrong := generation("q1", "m")
	wrong.AgentIncarnation = "i0"
	version := generation("q2", "m")
	version.ModelVersion = "2"
	adapter := generation("q3", "m")
	adapter.Adapter = "unpublished"
	cases := []struct {
		got  execResult
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
			t.Errorf("result %+v, want code %s as not_run", c.got, c.want)
		}
	}
}

// Guards against a request that waits behind a long prefill although it cannot meet its target any more, and against an
// idle runner that refuses a prompt because its prefill alone takes longer than the target.
func TestGenerationThatMissesTargetIsRefused(t *testing.T) {
	b := newServingTestbed(t)
	long := generation("q1", "m")
	long.PromptTokens = 10_000_000
	long.FirstTokenMillis = 100
	b.engine.Faults.Set(faults.Switches{DelayMillis: 1000})
	done := make(chan execResult, 1)
	go func() { done <- b.exec(context.Background(), long, shortPrompt, nil) }()
	b.eventually("long prefill runs", func() bool {
		_, running := b.daemon.admission.Load()
		return running == 1
	})
	late := generation("q2", "m")
	late.FirstTokenMillis = 100
	if got := b.exec(context.Background(), late, shortPrompt, nil); !got.refusedWith(failure.TargetMissed, failure.NotRun) {
		t.Errorf("result %+v, want code target_missed as not_run", got)
	}
	if got := <-done; got.err != nil || got.end == nil {
		t.Errorf("result of the long prompt: %+v, want a complete response", got)
	}
}

// Guards against a broken engine stream that is reported as complete or as not run.
func TestBrokenStreamHasUnknownOutcome(t *testing.T) {
	b := newServingTestbed(t)
	b.engine.Faults.Set(faults.Switches{BreakStreamAfterTokens: 3, BreakStreams: 1})
	got := b.exec(context.Background(), generation("q1", "m"), longPrompt, nil)
	if got.end != nil || got.err == nil || failure.From(got.err).Outcome != failure.Unknown || got.text == "" {
		t.Fatalf("result %+v, want some text and a failure with outcome unknown", got)
	}
}

// Guards against a generation that keeps running in the engine after its caller has cancelled, and against a leaked
// slot.
func TestCancelledCallStopsGeneration(t *testing.T) {
	b := newServingTestbed(t)
	ctx, cancel := context.WithCancel(context.Background())
	b.exec(ctx, generation("q1", "m"), `{"prompt":"ferry","max_tokens":100000}`, cancel)
	b.eventually("engine and queue idle", func() bool {
		report := b.daemon.view.Load().Report
		_, running := b.daemon.admission.Load()
		return report.Running == 0 && report.Waiting == 0 && running == 0
	})
}

// Guards against more resident adapters than slots, and against requests that fail because their adapter is not
// resident yet.
func TestAdaptersAreLoadedOnDemand(t *testing.T) {
	b := newServingTestbed(t)
	for i, name := range []string{"a1", "a2", "a3", "a1"} {
		request := generation("q"+string(rune('1'+i)), "m")
		request.Adapter = name
		if got := b.exec(context.Background(), request, shortPrompt, nil); got.end == nil {
			t.Fatalf("request with adapter %s: %+v, want a complete response", name, got)
		}
		if n := len(b.daemon.view.Load().Adapters); n > 2 {
			t.Fatalf("resident adapters: %d, want at most 2", n)
		}
	}
}

// Guards against a model that is never served because the response to its load order was lost.
func TestLostLoadAnswerStillServes(t *testing.T) {
	b := newEngineTestbed(t)
	b.engine.Faults.Set(faults.Switches{DropOrder: 2})
	b.publish("c1", published("model", "m", modelValues("m")...))
	b.start("i1")
	b.eventually("model served", func() bool { return b.serving("m") })
	if got := b.exec(context.Background(), generation("q1", "m"), shortPrompt, nil); got.end == nil {
		t.Fatalf("result %+v, want a complete response", got)
	}
}
