package entry

import (
	"net/http/httptest"
	"testing"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/verdict"
)

// Guards against a failure whose status promises that the request has not run beside an outcome that does not: a caller or
// a client library that goes by the status sends a call again that may have run.
func TestStatusDoesNotContradictTheOutcome(t *testing.T) {
	codes := []failure.Code{failure.RequestTimeout, failure.NoBackend, failure.Overloaded, failure.CapExceeded, failure.TargetMissed, failure.Leaving,
		failure.NotLoaded, failure.WrongIncarnation, failure.LogUnavailable, failure.NotReady, failure.RetryBudgetExhausted, failure.PromptQuarantined,
		failure.BadRequest, failure.ConnectionLost, failure.EngineFailed, failure.DeadlineExceeded}
	for _, code := range codes {
		for _, outcome := range []failure.Outcome{failure.NotRun, failure.Ran, failure.Unknown} {
			w := httptest.NewRecorder()
			writeFailure(w, "id", failure.New(code, outcome, "test"))
			if promised := verdict.PromisesNotRun(w.Code); promised && outcome != failure.NotRun {
				t.Errorf("%s, %s: status %d promises that the request has not run", code, outcome, w.Code)
			}
			if outcome == failure.NotRun && w.Code != code.Status() {
				t.Errorf("%s, %s: status %d, want %d", code, outcome, w.Code, code.Status())
			}
			if w.Header().Get(headerOutcome) != string(outcome) {
				t.Errorf("%s, %s: outcome %q in the header", code, outcome, w.Header().Get(headerOutcome))
			}
		}
	}
}
