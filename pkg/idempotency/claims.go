package idempotency

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// maxBatch and maxBatchBytes bound one append.
	maxBatch      = 256
	maxBatchBytes = 256 << 10
	// retryAfter is the pause after an append that failed.
	retryAfter = 100 * time.Millisecond
)

// Lookups is the part of the fold that Claims reads.
type Lookups interface {
	Offset() uint64
	Lookup(key string, unixMillis int64) (Entry, bool)
}

// ClaimsConfig holds the identity and the limits of one agent.
type ClaimsConfig struct {
	Runner string
	// Incarnation is unique per process; claim ids are built from it.
	Incarnation string
	// Interval is the shortest time between two appends.
	Interval time.Duration
	// WaitDone is the time that a losing request waits for the winner's result.
	WaitDone time.Duration
}

// Claims is the claim protocol of one agent for one service: events in, actions out. It is owned by one
// goroutine and reads no clock.
//
// A request may run only after the claim's own record was read back as the winner, because only the order of
// the log tells which of several claims is the first.
type Claims struct {
	cfg      ClaimsConfig
	fold     Lookups
	ready    bool
	requests map[uint64]*request
	// results are dones and abandons that are not yet stored.
	results []*ferrypb.KeyRecord
	// outstanding is the batch in the outstanding append; nil without one.
	outstanding *ferrypb.KeyBatch
	unresolved  bool
	inFlight    bool
	notBefore   time.Time
	claims      uint64
}

// NewClaims returns the state machine of an agent that reads a fold.
func NewClaims(cfg ClaimsConfig, fold Lookups) *Claims {
	return &Claims{cfg: cfg, fold: fold, requests: map[uint64]*request{}}
}

// SetReady permits requests once the fold has reached the log's end.
func (c *Claims) SetReady() { c.ready = true }

// SetInterval changes the shortest time between two appends.
func (c *Claims) SetInterval(d time.Duration) { c.cfg.Interval = d }

// Acquire starts a request with a new id.
func (c *Claims) Acquire(now time.Time, id uint64, key string, hash uint64) []Action {
	if !c.ready {
		return []Action{Reply{ID: id, Verdict: c.refusal(now, key, hash)}}
	}
	r := &request{id: id, key: key, hash: hash, arrived: now}
	c.requests[id] = r
	if e, ok := c.fold.Lookup(key, now.UnixMilli()); ok {
		r.phase = losing
		if v, settled := c.judge(now, r, e); settled {
			return c.reply(nil, r, v)
		}
	}
	return c.Tick(now)
}

// Cancel ends a request whose caller is gone and that has no verdict yet.
func (c *Claims) Cancel(now time.Time, id uint64) []Action {
	r, ok := c.requests[id]
	if ok && r.phase != running {
		c.withdraw(r)
	}
	return c.Tick(now)
}

// Finish stores the result of a request that ran.
func (c *Claims) Finish(now time.Time, id uint64, d *ferrypb.KeyDone) []Action {
	r, ok := c.requests[id]
	if !ok || r.phase != running {
		return nil
	}
	d.Key = r.key
	d.ClaimId = r.claimID
	if len(d.Body) > MaxBody {
		d.Body = nil
		d.BodyOmitted = true
	}
	delete(c.requests, id)
	c.results = append(c.results, &ferrypb.KeyRecord{Record: &ferrypb.KeyRecord_Done{Done: d}})
	return c.Tick(now)
}

// Abandon withdraws a request that has permission to run and was never sent to the backend server.
func (c *Claims) Abandon(now time.Time, id uint64) []Action {
	r, ok := c.requests[id]
	if !ok || r.phase != running {
		return nil
	}
	c.abandon(r)
	return c.Tick(now)
}

// abandon drops a claim that won and queues the record that frees its key.
func (c *Claims) abandon(r *request) {
	delete(c.requests, r.id)
	c.results = append(c.results, &ferrypb.KeyRecord{Record: &ferrypb.KeyRecord_Abandon{
		Abandon: &ferrypb.KeyAbandon{Key: r.key, ClaimId: r.claimID}}})
}

// withdraw ends a request without permission. A claim that may be stored is kept until its fate is known.
func (c *Claims) withdraw(r *request) {
	if r.phase == issued || r.phase == stored {
		r.phase = withdrawn
		return
	}
	if r.phase != withdrawn {
		delete(c.requests, r.id)
	}
}

// Appended gives the result of the outstanding Append or Resolve.
func (c *Claims) Appended(now time.Time, offset uint64, err error) []Action {
	c.inFlight = false
	if err == nil {
		c.stored(offset)
		return c.Tick(now)
	}
	c.notBefore = now.Add(max(retryAfter, c.cfg.Interval))
	if failure.From(err).Outcome != failure.NotRun {
		c.unresolved = true
		return c.Tick(now)
	}
	if c.unresolved {
		return c.Tick(now)
	}
	return append(c.notStored(now), c.Tick(now)...)
}

func (c *Claims) stored(offset uint64) {
	for _, r := range c.requests {
		if r.inBatch() && r.offset == 0 {
			r.offset = offset
		}
		if r.phase == issued {
			r.phase = stored
		}
	}
	c.outstanding = nil
	c.unresolved = false
}

func (r *request) inBatch() bool { return r.phase == issued || r.phase == withdrawn }

// notStored handles a batch that is certainly not in the log: its claims are refused and its results sent again.
func (c *Claims) notStored(now time.Time) []Action {
	var out []Action
	for _, r := range c.sorted() {
		switch {
		case r.phase == issued:
			delete(c.requests, r.id)
			out = append(out, Reply{ID: r.id, Verdict: c.refusal(now, r.key, r.hash)})
		case r.phase == withdrawn && r.offset == 0:
			delete(c.requests, r.id)
		}
	}
	var again []*ferrypb.KeyRecord
	for _, rec := range c.outstanding.GetRecords() {
		if rec.GetClaim() == nil {
			again = append(again, rec)
		}
	}
	c.results = append(again, c.results...)
	c.outstanding = nil
	return out
}

// sorted returns the requests in the order of their ids.
func (c *Claims) sorted() []*request {
	out := make([]*request, 0, len(c.requests))
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		out = append(out, c.requests[id])
	}
	return out
}

// reply settles a request. Only a running one stays, until its result is known.
func (c *Claims) reply(out []Action, r *request, v Verdict) []Action {
	if v.Run {
		r.phase = running
	} else {
		c.withdraw(r)
	}
	return append(out, Reply{ID: r.id, Verdict: v})
}

func (c *Claims) nextClaimID() string {
	c.claims++
	return c.cfg.Incarnation + "/" + strconv.FormatUint(c.claims, 10)
}

func (c *Claims) idle() bool {
	return len(c.requests) == 0 && len(c.results) == 0 && c.outstanding == nil
}
