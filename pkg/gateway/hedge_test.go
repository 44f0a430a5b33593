package gateway

import (
	"testing"

	"trefoilferry.example/ferry/pkg/failure"
)

// Guards against an attempt that is given up although it may still serve the caller, and against a request that waits for
// attempts that no longer matter or have all failed.
func TestFirstCompleteResponseWinsAndFailuresWaitForTheOthers(t *testing.T) {
	type end struct {
		attempt int
		fail    *failure.Failure
		want    hedgeStep
	}
	refused := failure.New(failure.Overloaded, failure.NotRun, "test")
	lost := failure.New(failure.ConnectionLost, failure.Unknown, "test")
	failed := failure.New(failure.EngineFailed, failure.Ran, "test")
	tooLong := failure.New(failure.BodyTooLarge, failure.Ran, "test")
	for name, c := range map[string]struct {
		attempts int
		ends     []end
	}{
		"the only one answers":              {1, []end{{0, nil, hedgeAnswer}}},
		"the only one fails":                {1, []end{{0, lost, hedgeOver}}},
		"the silent one answers":            {2, []end{{0, nil, hedgeAnswer}}},
		"the second one answers":            {2, []end{{1, nil, hedgeAnswer}}},
		"refused, then the silent answers":  {2, []end{{1, refused, hedgeReplace}, {0, nil, hedgeAnswer}}},
		"failed, then the silent answers":   {2, []end{{1, failed, hedgeReplace}, {0, nil, hedgeAnswer}}},
		"silent one lost, second answers":   {2, []end{{0, lost, hedgeWait}, {1, nil, hedgeAnswer}}},
		"silent one final, second answers":  {2, []end{{0, tooLong, hedgeWait}, {1, nil, hedgeAnswer}}},
		"silent one lost, second refuses":   {2, []end{{0, lost, hedgeWait}, {1, refused, hedgeOver}}},
		"second refuses, silent one fails":  {2, []end{{1, refused, hedgeReplace}, {0, failed, hedgeOver}}},
		"second of three fails, then third": {3, []end{{1, lost, hedgeWait}, {2, lost, hedgeReplace}, {0, nil, hedgeAnswer}}},
	} {
		h := hedge{maxAttempts: 3}
		for n := range c.attempts {
			h.begin(n)
		}
		for _, e := range c.ends {
			if got := h.end(e.attempt, e.fail); got != e.want {
				t.Errorf("%s: attempt %d ended with %v: %q, want %q", name, e.attempt, e.fail, got, e.want)
			}
		}
	}
}

// Guards against a request that may run at more servers than its route permits, and against one that is refused by one
// server after another.
func TestAttemptsInProgressCountAgainstTheMaximum(t *testing.T) {
	for _, c := range []struct {
		running, sent, refused, unreached int
		want                              bool
	}{
		{1, 0, 0, 0, true}, {2, 0, 0, 0, false}, {1, 1, 0, 0, false}, {1, 0, maxRefusals, 0, true}, {1, 0, maxRefusals + 1, 0, false},
		{1, 0, 0, maxUnreachedAttempts + 1, false},
	} {
		h := hedge{maxAttempts: 2, running: make([]int, c.running)}
		if got := h.mayAdd(c.sent, c.refused, c.unreached); got != c.want {
			t.Errorf("another server with %+v: %v", c, got)
		}
	}
}
