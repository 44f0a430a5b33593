package verdict

import (
	"testing"

	"trefoilferry.example/ferry/pkg/failure"
)

// codes are those with which requests of callers end.
var codes = []failure.Code{
	failure.BadRequest, failure.Unauthorized, failure.NotFound, failure.MethodNotAllowed, failure.BodyTooLarge, failure.HeaderTooLarge,
	failure.RequestTimeout, failure.KeyMismatch, failure.KeyInProgress, failure.ClientCancelled, failure.NoBackend, failure.Overloaded,
	failure.CapExceeded, failure.QuotaExceeded, failure.TargetMissed, failure.Leaving, failure.NotLoaded, failure.WrongIncarnation, failure.ConnectFailed,
	failure.ConnectionLost, failure.Truncated, failure.FrameMismatch, failure.ChecksumMismatch, failure.EngineFailed,
	failure.ServiceFailed, failure.DeadlineExceeded, failure.LogUnavailable, failure.NotReady, failure.RetryBudgetExhausted,
	failure.PromptQuarantined, failure.Internal,
}

// Guards against a failure whose status promises that the request has not run although it may have, and against one that
// has certainly not run and leaves its caller in doubt.
func TestCallerStatusPromisesOnlyWhatIsCertain(t *testing.T) {
	for _, code := range codes {
		for _, outcome := range []failure.Outcome{failure.NotRun, failure.Ran, failure.Unknown} {
			status := CallerStatus(code, outcome)
			if PromisesNotRun(status) && outcome != failure.NotRun {
				t.Errorf("%s, %s: status %d promises that the request has not run", code, outcome, status)
			}
			if outcome == failure.NotRun && status >= 500 && !PromisesNotRun(status) {
				t.Errorf("%s, %s: status %d leaves the caller in doubt", code, outcome, status)
			}
			if outcome != failure.NotRun && status < 500 {
				t.Errorf("%s, %s: status %d blames the caller", code, outcome, status)
			}
		}
	}
}

// Guards against another set of promising statuses than the one that callers go by.
func TestPromisingStatuses(t *testing.T) {
	promising := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for status := 100; status < 600; status++ {
		if PromisesNotRun(status) != promising[status] {
			t.Errorf("status %d promises: %v, want %v", status, PromisesNotRun(status), promising[status])
		}
	}
}

// Guards against a not_run that hides an earlier attempt that may have been run.
func TestCombineKeepsUncertainty(t *testing.T) {
	order := []failure.Outcome{failure.NotRun, failure.Unknown, failure.Ran}
	for i, a := range order {
		for j, b := range order {
			if got := Combine(a, b); got != order[max(i, j)] {
				t.Errorf("Combine(%s, %s) = %s, want %s", a, b, got, order[max(i, j)])
			}
		}
	}
}
