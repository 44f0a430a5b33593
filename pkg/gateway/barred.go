package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// errBarred is the cause with which an attempt is cancelled when its prompt is found to crash runners.
var errBarred error = failure.New(failure.PromptQuarantined, failure.Unknown, "a prompt part of the request crashes runners")

// verdictCheckInterval is how often a request that waits for a provisional entry looks whether more is known.
const verdictCheckInterval = 30 * time.Millisecond

// barred returns the failure for a request whose prompt is known to crash runners; nil for all others. A retry is useful
// only once the entry has expired.
func (f *Forwarder) barred(j *job, now time.Time) *failure.Failure {
	e := f.board.Match(j.parts, now)
	if e == nil || e.Provisional {
		return nil
	}
	return failure.New(failure.PromptQuarantined, failure.NotRun, "runners crash on requests with a prompt part of this one").
		WithRetryAfter(e.Until.Sub(now))
}

// maxReleaseDelay spreads the requests that are sent when a provisional entry ends without a verdict: the first of them
// may tell what the others do to their runners.
const maxReleaseDelay = 600 * time.Millisecond

// awaitVerdict waits while a prompt part of the request is held off, and returns the failure if it is barred then.
func (f *Forwarder) awaitVerdict(ctx context.Context, j *job) *failure.Failure {
	if len(j.parts) == 0 {
		return nil
	}
	limit := time.Now().Add(modelWaitLimit(j, time.Now()))
	var release time.Time
	for {
		now := time.Now()
		e := f.board.Match(j.parts, now)
		switch {
		case e != nil && e.Provisional:
			if release.Before(e.Until) {
				release = e.Until.Add(rand.N(maxReleaseDelay))
			}
		case e != nil || f.board.Survived(j.parts):
			release = time.Time{}
		}
		if !now.Before(release) || now.After(limit) || ctx.Err() != nil {
			return f.barred(j, now)
		}
		sleep(ctx, verdictCheckInterval)
	}
}
