package idempotency

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// Action is one thing that the caller of Claims must do.
type Action interface{ action() }

// Append asks for the append of a batch; its result is given back by Claims.Appended.
type Append struct{ Batch *ferrypb.KeyBatch }

// Resolve asks to settle the unresolved append; its result is given back by Claims.Appended.
type Resolve struct{}

// Reply settles one request.
type Reply struct {
	ID      uint64
	Verdict Verdict
}

func (Append) action()  {}
func (Resolve) action() {}
func (Reply) action()   {}

// Verdict is the decision on one request. Exactly one of Run, Replay and Failure is set.
type Verdict struct {
	// Run is permission to run the request before StartBefore, on the monotonic clock.
	Run         bool
	StartBefore time.Time
	// Replay is the stored result of the request.
	Replay *ferrypb.KeyDone
	// Failure has code KeyMismatch, KeyInProgress or LogUnavailable.
	Failure *failure.Failure
}

func refuse(code failure.Code, outcome failure.Outcome, message string) Verdict {
	return Verdict{Failure: failure.New(code, outcome, message)}
}

func unavailable() Verdict {
	return refuse(failure.LogUnavailable, failure.NotRun, "the key could not be claimed in the log")
}

func mismatch() Verdict {
	return refuse(failure.KeyMismatch, failure.NotRun, "the key was used with another request")
}

func inProgress() Verdict {
	return refuse(failure.KeyInProgress, failure.Unknown, "another request with the key has no result yet")
}
