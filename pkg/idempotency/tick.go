package idempotency

import (
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
)

// Tick handles deadlines that have passed and records that were applied to the fold since the last event.
func (c *ClaimProtocol) Tick(now time.Time) []Action {
	var out []Action
	for _, r := range c.sortedRequests() {
		out = c.advance(out, now, r)
	}
	return c.startNextAppend(out, now)
}

// NextWake returns the time at which Tick must be called if no other event comes before; zero if there is none.
func (c *ClaimProtocol) NextWake() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, r := range c.requests {
		switch r.phase {
		case queued:
			earlier(r.arrivedAt.Add(StartWindow))
			if !c.inFlight {
				earlier(c.nextAppendAt)
			}
		case appending, awaitingReadBack:
			earlier(r.appendStartedAt.Add(StartWindow))
		case awaitingResult:
			earlier(r.arrivedAt.Add(c.cfg.ResultWait))
		}
	}
	if !c.inFlight && (len(c.pendingResults) > 0 || c.unresolved) {
		earlier(c.nextAppendAt)
	}
	return next
}

// AwaitingRecord reports whether a request waits for a record, so that the key stream should be read at a short interval.
func (c *ClaimProtocol) AwaitingRecord() bool {
	for _, r := range c.requests {
		if r.phase == awaitingReadBack || r.phase == awaitingResult || r.phase == withdrawn {
			return true
		}
	}
	return false
}

// advance moves a request to its next phase if time or fold allow it.
func (c *ClaimProtocol) advance(out []Action, now time.Time, r *request) []Action {
	switch r.phase {
	case queued:
		if now.Sub(r.arrivedAt) >= StartWindow {
			return c.addReply(out, r, c.refusalVerdict(now, r.key, r.hash))
		}
	case appending, awaitingReadBack:
		return c.readBack(out, now, r)
	case awaitingResult:
		return c.checkOtherClaim(out, now, r)
	case withdrawn:
		c.endWithdrawn(now, r)
	}
	return out
}

// readBack decides a claim once its own record was read. Until then, an entry of another claim decides nothing, because
// that claim may be abandoned before this one in the stream.
func (c *ClaimProtocol) readBack(out []Action, now time.Time, r *request) []Action {
	late := now.Sub(r.appendStartedAt) >= StartWindow
	read, won, other := c.claimResult(now, r)
	switch {
	case won && late:
		c.queueAbandon(r)
		return append(out, Reply{ID: r.id, Verdict: unavailable()})
	case won:
		return c.addReply(out, r, Verdict{Run: true, StartBefore: r.appendStartedAt.Add(StartWindow)})
	case read:
		r.phase = awaitingResult
		return c.handleLost(out, now, r, other)
	case late:
		return c.addReply(out, r, c.refusalVerdict(now, r.key, r.hash))
	}
	return out
}

// claimResult reports whether the claim's record was read back and whether the claim has won. If it has not, other is the
// entry of the claim that holds the key.
func (c *ClaimProtocol) claimResult(now time.Time, r *request) (read, won bool, other Entry) {
	read = r.offset > 0 && c.fold.Offset() >= r.offset
	e, ok := c.fold.Lookup(r.key, now.UnixMilli())
	if ok && e.Claim.ClaimId == r.claimID {
		return true, true, Entry{}
	}
	return read, false, e
}

// refusalVerdict returns the verdict on a request whose key could not be claimed. If another claim holds the key, it may
// have run the same request, so the verdict depends on that claim; LogUnavailable with outcome NotRun is returned only
// without one.
func (c *ClaimProtocol) refusalVerdict(now time.Time, key string, hash uint64) Verdict {
	e, ok := c.fold.Lookup(key, now.UnixMilli())
	switch {
	case !ok:
		return unavailable()
	case e.Claim.RequestHash != hash:
		return mismatch()
	case e.Done != nil:
		return Verdict{Replay: e.Done}
	default:
		return inProgress()
	}
}

// handleLost handles a request whose claim was read back and has not won.
func (c *ClaimProtocol) handleLost(out []Action, now time.Time, r *request, other Entry) []Action {
	if other.Claim == nil {
		return c.requeue(out, r)
	}
	if v, decided := c.decide(now, r, other); decided {
		return c.addReply(out, r, v)
	}
	return out
}

// checkOtherClaim handles a request that waits for the result of another claim.
func (c *ClaimProtocol) checkOtherClaim(out []Action, now time.Time, r *request) []Action {
	e, ok := c.fold.Lookup(r.key, now.UnixMilli())
	if !ok {
		return c.requeue(out, r)
	}
	if v, decided := c.decide(now, r, e); decided {
		return c.addReply(out, r, v)
	}
	return out
}

// decide returns the verdict on a request whose key another claim holds, and false while it waits for the result of that
// claim.
func (c *ClaimProtocol) decide(now time.Time, r *request, e Entry) (Verdict, bool) {
	if e.Claim.RequestHash != r.hash {
		return mismatch(), true
	}
	if e.Done != nil {
		return Verdict{Replay: e.Done}, true
	}
	if now.Sub(r.arrivedAt) >= c.cfg.ResultWait {
		return inProgress(), true
	}
	return Verdict{}, false
}

// requeue queues a new claim for a request, because the other claim on its key was abandoned or has expired.
func (c *ClaimProtocol) requeue(out []Action, r *request) []Action {
	r.phase = queued
	r.claimID = ""
	r.offset = 0
	return out
}

// endWithdrawn ends a withdrawn request once its claim was read back. If the claim has won, its key is freed.
func (c *ClaimProtocol) endWithdrawn(now time.Time, r *request) {
	read, won, _ := c.claimResult(now, r)
	if won {
		c.queueAbandon(r)
		return
	}
	if read {
		delete(c.requests, r.id)
	}
}

// startNextAppend returns the next append if it is due: Resolve while an append is unresolved, otherwise a batch of
// results and new claims.
func (c *ClaimProtocol) startNextAppend(out []Action, now time.Time) []Action {
	if c.inFlight || now.Before(c.nextAppendAt) {
		return out
	}
	if c.unresolved {
		c.markInFlight(now)
		return append(out, Resolve{})
	}
	batch := c.buildBatch(now)
	if len(batch.Records) == 0 {
		return out
	}
	c.pendingBatch = batch
	c.markInFlight(now)
	return append(out, Append{Batch: batch})
}

func (c *ClaimProtocol) markInFlight(now time.Time) {
	c.inFlight = true
	c.nextAppendAt = now.Add(c.cfg.AppendInterval)
}

// buildBatch moves queued results and claims into a batch, results first.
func (c *ClaimProtocol) buildBatch(now time.Time) *ferrypb.KeyBatch {
	batch := &ferrypb.KeyBatch{}
	size := 0
	for len(c.pendingResults) > 0 && len(batch.Records) < maxBatchRecords && size < maxBatchBytes {
		size += proto.Size(c.pendingResults[0])
		batch.Records = append(batch.Records, c.pendingResults[0])
		c.pendingResults = c.pendingResults[1:]
	}
	for _, r := range c.sortedRequests() {
		if r.phase != queued || len(batch.Records) >= maxBatchRecords {
			continue
		}
		r.phase = appending
		r.claimID = c.nextClaimID()
		r.appendStartedAt = now
		r.offset = 0
		batch.Records = append(batch.Records, c.claimRecord(r))
	}
	return batch
}

func (c *ClaimProtocol) claimRecord(r *request) *ferrypb.KeyRecord {
	return &ferrypb.KeyRecord{Record: &ferrypb.KeyRecord_Claim{Claim: &ferrypb.KeyClaim{Key: r.key, ClaimId: r.claimID,
		RequestHash: r.hash, Runner: c.cfg.Runner, Incarnation: c.cfg.Incarnation}}}
}
