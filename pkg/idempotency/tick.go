package idempotency

import (
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
)

// Tick handles the passing of time and a fold that has moved on.
func (c *Claims) Tick(now time.Time) []Action {
	var out []Action
	for _, r := range c.sorted() {
		out = c.progress(out, now, r)
	}
	return c.issue(out, now)
}

// NextWake returns the time of the next Tick that is due without another event; zero for none.
func (c *Claims) NextWake() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, r := range c.requests {
		switch r.phase {
		case queued:
			earlier(r.arrived.Add(ExecuteWithin))
			if !c.inFlight {
				earlier(c.notBefore)
			}
		case issued, stored:
			earlier(r.issuedAt.Add(ExecuteWithin))
		case losing:
			earlier(r.arrived.Add(c.cfg.WaitDone))
		}
	}
	if !c.inFlight && (len(c.results) > 0 || c.unresolved) {
		earlier(c.notBefore)
	}
	return next
}

// Reading reports whether a record is awaited, so that the stream should be read at a short interval.
func (c *Claims) Reading() bool {
	for _, r := range c.requests {
		if r.phase == stored || r.phase == losing || r.phase == withdrawn {
			return true
		}
	}
	return false
}

func (c *Claims) progress(out []Action, now time.Time, r *request) []Action {
	switch r.phase {
	case queued:
		if now.Sub(r.arrived) >= ExecuteWithin {
			return c.reply(out, r, c.refusal(now, r.key, r.hash))
		}
	case issued, stored:
		return c.readBack(out, now, r)
	case losing:
		return c.await(out, now, r)
	case withdrawn:
		c.settleWithdrawn(now, r)
	}
	return out
}

// readBack decides a claim once its own record was read. Until then an entry of another claim decides nothing:
// it may have been abandoned before the own record.
func (c *Claims) readBack(out []Action, now time.Time, r *request) []Action {
	late := now.Sub(r.issuedAt) >= ExecuteWithin
	read, won, other := c.fate(now, r)
	switch {
	case won && late:
		c.abandon(r)
		return append(out, Reply{ID: r.id, Verdict: unavailable()})
	case won:
		return c.reply(out, r, Verdict{Run: true, StartBefore: r.issuedAt.Add(ExecuteWithin)})
	case read:
		r.phase = losing
		return c.lost(out, now, r, other)
	case late:
		return c.reply(out, r, c.refusal(now, r.key, r.hash))
	}
	return out
}

// fate reports whether the claim's record was read back and whether it won; other is the winning entry otherwise.
func (c *Claims) fate(now time.Time, r *request) (read, won bool, other Entry) {
	read = r.offset > 0 && c.fold.Offset() >= r.offset
	e, ok := c.fold.Lookup(r.key, now.UnixMilli())
	if ok && e.Claim.ClaimId == r.claimID {
		return true, true, Entry{}
	}
	return read, false, e
}

// refusal is the verdict on a request that could not be claimed. Another claim that is already known may have
// run the same request, so that not_run is given only without one.
func (c *Claims) refusal(now time.Time, key string, hash uint64) Verdict {
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

func (c *Claims) lost(out []Action, now time.Time, r *request, other Entry) []Action {
	if other.Claim == nil {
		return c.requeue(out, r)
	}
	if v, settled := c.judge(now, r, other); settled {
		return c.reply(out, r, v)
	}
	return out
}

// await handles a request that waits for the result of another claim.
func (c *Claims) await(out []Action, now time.Time, r *request) []Action {
	e, ok := c.fold.Lookup(r.key, now.UnixMilli())
	if !ok {
		return c.requeue(out, r)
	}
	if v, settled := c.judge(now, r, e); settled {
		return c.reply(out, r, v)
	}
	return out
}

// judge decides a request by the entry of another claim; it is not settled while the result can still come.
func (c *Claims) judge(now time.Time, r *request, e Entry) (Verdict, bool) {
	if e.Claim.RequestHash != r.hash {
		return mismatch(), true
	}
	if e.Done != nil {
		return Verdict{Replay: e.Done}, true
	}
	if now.Sub(r.arrived) >= c.cfg.WaitDone {
		return inProgress(), true
	}
	return Verdict{}, false
}

// requeue claims a key again whose other claim was abandoned.
func (c *Claims) requeue(out []Action, r *request) []Action {
	r.phase = queued
	r.claimID = ""
	r.offset = 0
	return out
}

// settleWithdrawn frees the key of a withdrawn claim that won, once its record was read.
func (c *Claims) settleWithdrawn(now time.Time, r *request) {
	read, won, _ := c.fate(now, r)
	if won {
		c.abandon(r)
		return
	}
	if read {
		delete(c.requests, r.id)
	}
}

// issue starts the next append: an unresolved one first, else results and new claims in one batch.
func (c *Claims) issue(out []Action, now time.Time) []Action {
	if c.inFlight || now.Before(c.notBefore) {
		return out
	}
	if c.unresolved {
		c.start(now)
		return append(out, Resolve{})
	}
	batch := c.batch(now)
	if len(batch.Records) == 0 {
		return out
	}
	c.outstanding = batch
	c.start(now)
	return append(out, Append{Batch: batch})
}

func (c *Claims) start(now time.Time) {
	c.inFlight = true
	c.notBefore = now.Add(c.cfg.Interval)
}

func (c *Claims) batch(now time.Time) *ferrypb.KeyBatch {
	batch := &ferrypb.KeyBatch{}
	size := 0
	for len(c.results) > 0 && len(batch.Records) < maxBatch && size < maxBatchBytes {
		size += proto.Size(c.results[0])
		batch.Records = append(batch.Records, c.results[0])
		c.results = c.results[1:]
	}
	for _, r := range c.sorted() {
		if r.phase != queued || len(batch.Records) >= maxBatch {
			continue
		}
		r.phase = issued
		r.claimID = c.nextClaimID()
		r.issuedAt = now
		r.offset = 0
		batch.Records = append(batch.Records, c.claimRecord(r))
	}
	return batch
}

func (c *Claims) claimRecord(r *request) *ferrypb.KeyRecord {
	return &ferrypb.KeyRecord{Record: &ferrypb.KeyRecord_Claim{Claim: &ferrypb.KeyClaim{Key: r.key, ClaimId: r.claimID,
		RequestHash: r.hash, Runner: c.cfg.Runner, Incarnation: c.cfg.Incarnation}}}
}
