package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// errBarred is the cause with which an attempt is cancelled when its prompt is found to crash runners.
var errBarred error = failure.New(failure.PromptQuarantined, failure.Unknown, "a prompt part of the request crashes runners")

// barred returns the failure for a request whose prompt is known to crash runners; nil for all others. A retry is useful
// only once the entry has expired.
func (f *Forwarder) barred(j *job, now time.Time) *failure.Failure {
	e := f.board.Match(j.parts, now)
	if e == nil {
		return nil
	}
	return failure.New(failure.PromptQuarantined, failure.NotRun, "runners crash on requests with a prompt part of this one").
		WithRetryAfter(e.Until.Sub(now))
}
