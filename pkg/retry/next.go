package retry

import (
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// nonRetryable lists the failures that a retry cannot remedy.
var nonRetryable = map[failure.Code]bool{
	failure.BadRequest:           true,
	failure.Unauthorized:         true,
	failure.NotFound:             true,
	failure.MethodNotAllowed:     true,
	failure.BodyTooLarge:         true,
	failure.HeaderTooLarge:       true,
	failure.RequestTimeout:       true,
	failure.KeyMismatch:          true,
	failure.KeyInProgress:        true,
	failure.ClientCancelled:      true,
	failure.DeadlineExceeded:     true,
	failure.LogUnavailable:       true,
	failure.RetryBudgetExhausted: true,
	failure.PromptQuarantined:    true,
}

// awaitsBackend lists the failures that end once a runner becomes available.
var awaitsBackend = map[failure.Code]bool{
	failure.NoBackend: true,
	failure.NotReady:  true,
}

// Next decides what to do after a failed attempt. A zero deadline means none.
func Next(s State, f *failure.Failure, idempotent bool, deadline time.Time) Decision {
	if nonRetryable[f.Code] {
		return Decision{Action: GiveUp}
	}
	if !deadline.IsZero() && !s.Now.Add(s.Delay).Before(deadline) {
		return Decision{Action: GiveUp}
	}
	if s.Delivered && !s.Resumable {
		return Decision{Action: GiveUp}
	}
	if awaitsBackend[f.Code] && f.Outcome == failure.NotRun {
		return Decision{Action: Wait, Delay: s.Delay}
	}
	if s.Attempts >= s.MaxAttempts {
		return Decision{Action: GiveUp}
	}
	if s.Delivered {
		return Decision{Action: Resume, Delay: s.Delay}
	}
	if repeatable(f, idempotent) {
		return Decision{Action: Resend, Delay: s.Delay}
	}
	return Decision{Action: GiveUp}
}

// repeatable reports whether the request may be sent again. An engine that failed returned no result, so idempotent
// work is retried even if the engine had started it.
func repeatable(f *failure.Failure, idempotent bool) bool {
	switch f.Outcome {
	case failure.NotRun:
		return true
	case failure.Unknown:
		return idempotent
	default:
		return idempotent && f.Code == failure.EngineFailed
	}
}
