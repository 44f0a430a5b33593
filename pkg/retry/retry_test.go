package retry

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

var start = time.Unix(1000, 0)

var retryable = []failure.Code{
	failure.Overloaded, failure.CapExceeded, failure.TargetMissed, failure.Leaving, failure.NotLoaded,
	failure.WrongIncarnation, failure.ConnectFailed, failure.ConnectionLost, failure.Truncated, failure.FrameMismatch,
	failure.ChecksumMismatch, failure.EngineFailed, failure.ServiceFailed, failure.Internal,
}

// expected implements sections 7 and 8 of the design document independently of the code under test.
func expected(code failure.Code, outcome failure.Outcome, idempotent, delivered, resumable bool) Action {
	switch {
	case nonRetryable[code]:
		return GiveUp
	case delivered && !resumable:
		return GiveUp
	case (code == failure.NoBackend || code == failure.NotReady) && outcome == failure.NotRun:
		return Wait
	case delivered:
		return Resume
	case outcome == failure.NotRun:
		return Resend
	case outcome == failure.Unknown && idempotent:
		return Resend
	case outcome == failure.Ran && idempotent && code == failure.EngineFailed:
		return Resend
	}
	return GiveUp
}

// Guards against executing non-idempotent work twice, and against a retry after the caller has received bytes.
func TestNextDecisionTable(t *testing.T) {
	codes := append([]failure.Code{failure.NoBackend, failure.NotReady}, retryable...)
	for code := range nonRetryable {
		codes = append(codes, code)
	}
	for _, code := range codes {
		for _, outcome := range []failure.Outcome{failure.NotRun, failure.Ran, failure.Unknown} {
			for mask := range 8 {
				idempotent, delivered, resumable := mask&1 != 0, mask&2 != 0, mask&4 != 0
				s := State{Now: start, Attempts: 1, MaxAttempts: 4, Delivered: delivered, Resumable: resumable}
				got := Next(s, failure.New(code, outcome, ""), idempotent, time.Time{}).Action
				if want := expected(code, outcome, idempotent, delivered, resumable); got != want {
					t.Errorf("%s %s idempotent=%v delivered=%v resumable=%v: %s, want %s", code, outcome, idempotent, delivered, resumable, got, want)
				}
				if outcome != failure.NotRun && !idempotent && !delivered && got != GiveUp {
					t.Errorf("%s %s: non-idempotent work would run twice", code, outcome)
				}
			}
		}
	}
}

// Guards against more attempts than MaxAttempts and delays beyond the deadline.
func TestNextBounds(t *testing.T) {
	refused := failure.New(failure.Leaving, failure.NotRun, "")
	absent := failure.New(failure.NoBackend, failure.NotRun, "")
	tests := []struct {
		attempts int
		delay    time.Duration
		f        *failure.Failure
		want     Action
	}{
		{3, time.Millisecond, refused, Resend},
		{4, time.Millisecond, refused, GiveUp},
		{4, time.Millisecond, absent, Wait},
		{1, time.Second, refused, GiveUp},
		{1, time.Second, absent, GiveUp},
	}
	for _, tt := range tests {
		s := State{Now: start, Attempts: tt.attempts, MaxAttempts: 4, Delay: tt.delay}
		if got := Next(s, tt.f, true, start.Add(time.Second)); got.Action != tt.want {
			t.Errorf("%+v: action %s, want %s", tt, got.Action, tt.want)
		}
	}
}

// Guards against a retry storm: if every attempt fails, the budget permits only the configured share of retries.
func TestBudgetBoundsRetries(t *testing.T) {
	const seconds, perSecond = 100, 100
	b := NewBudget(DefaultLimits, start)
	taken := 0
	for i := range seconds * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		b.RecordRequest(now)
		for b.Take(now) {
			taken++
		}
	}
	if limit := 20 + seconds*perSecond/10 + seconds*3; taken > limit || taken < limit-20 {
		t.Fatalf("retries when every attempt fails: %d, want %d to %d", taken, limit-20, limit)
	}
	end := start.Add(seconds * time.Second)
	for b.Take(end) {
		continue
	}
	if wait := b.RetryAfter(end); wait <= 0 || !b.Take(end.Add(wait+time.Microsecond)) {
		t.Fatalf("no retry permitted after RetryAfter of %v, want one", wait)
	}
}
