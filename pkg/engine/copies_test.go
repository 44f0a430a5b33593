package engine_test

import (
	"net/http"
	"testing"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/repeater"
)

func repeatingEngine(t *testing.T, responses ...string) *engine.Client {
	t.Helper()
	s, err := repeater.Start(responses...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return engine.NewClient("http://"+s.Addr(), nil)
}

// Guards against an order that counts as done, a report that counts as current and a generation that counts as not run,
// because the engine writes an earlier response once more.
func TestCopyOfAnEarlierResponseIsNotTheAnswer(t *testing.T) {
	order := engine.Order{}
	c := repeatingEngine(t, repeater.Response(http.StatusOK, "{}"), repeater.Response(http.StatusConflict, "{}"))
	if err := c.Order(t.Context(), order); err != nil {
		t.Fatal(err)
	}
	if err := c.Order(t.Context(), order); err == nil {
		t.Error("refused order after one that was done: no error, want one")
	}

	c = repeatingEngine(t, repeater.Response(http.StatusOK, `{"instance":"old"}`), repeater.Response(http.StatusOK, `{"instance":"new"}`))
	for _, want := range []string{"old", "new"} {
		if report, err := c.Report(t.Context()); err != nil || report.Instance != want {
			t.Errorf("report of instance %q, %v, want %q", report.Instance, err, want)
		}
	}

	c = repeatingEngine(t, repeater.Response(http.StatusServiceUnavailable, "{}"), repeater.Response(http.StatusInternalServerError, "{}"))
	for _, want := range []failure.Outcome{failure.NotRun, failure.Ran} {
		if _, err := c.Generate(t.Context(), engine.GenerateRequest{RequestID: "r1", Body: []byte("{}")}); failure.From(err).Outcome != want {
			t.Errorf("generation: %v, want outcome %s", err, want)
		}
	}
}
