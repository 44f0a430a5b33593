package idempotency

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// Action is an action that the owner of ClaimProtocol must carry out: Append, Resolve or Reply.
type Action interface{ action() }

// Append asks the owner to append a batch to the key stream and to pass the result to ClaimProtocol.HandleAppendResult.
type Append struct{ Batch *ferrypb.KeyBatch }

// Resolve asks the owner to find out whether the append with an unknown outcome was stored, and to pass the result to
// ClaimProtocol.HandleAppendResult.
type Resolve struct{}

// Reply carries the verdict on the request with the id.
type Reply struct {
	ID      uint64
	Verdict Verdict
}

func (Append) action()  {}
func (Resolve) action() {}
func (Reply) action()   {}

// Verdict is the decision on one request. Exactly one of Run, Replay and Failure is set.
type Verdict struct {
	// Run grants permission to run the request, which must be started before StartBefore on the monotonic clock.
	Run         bool
	StartBefore time.Time
	// Replay is the stored result of the request.
	Replay *ferrypb.KeyDone
	// Failure has code KeyMismatch, KeyInProgress or LogUnavailable.
	Failure *failure.Failure
}

func newRefusal(code failure.Code, outcome failure.Outcome, message string) Verdict {
	return Verdict{Failure: failure.New(code, outcome, message)}
}

func unavailable() Verdict {
	return newRefusal(failure.LogUnavailable, failure.NotRun, "the idempotency key could not be claimed in the log")
}

func mismatch() Verdict {
	return newRefusal(failure.KeyMismatch, failure.NotRun, "the idempotency key was used with a different request")
}

func inProgress() Verdict {
	return newRefusal(failure.KeyInProgress, failure.Unknown, "another request with the same idempotency key has no result yet")
}
