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
	// maxBatchRecords and maxBatchBytes bound one append.
	maxBatchRecords = 256
	maxBatchBytes   = 256 << 10
	// appendRetryDelay is the shortest delay after a failed append.
	appendRetryDelay = 100 * time.Millisecond
)

// KeyLookup is the part of Fold that ClaimProtocol reads.
type KeyLookup interface {
	// Offset returns the offset of the last applied record.
	Offset() uint64
	// Lookup returns the entry of a key that has not expired at unixMillis.
	Lookup(key string, unixMillis int64) (Entry, bool)
}

// ProtocolConfig holds the identity and the limits of one agent.
type ProtocolConfig struct {
	// Runner is the name of the agent's runner.
	Runner string
	// Incarnation is unique per process; claim ids start with it.
	Incarnation string
	// AppendInterval is the shortest time between the starts of two appends.
	AppendInterval time.Duration
	// ResultWait is the time that a request waits for the result of another claim on its key.
	ResultWait time.Duration
}

// ClaimProtocol is the state machine of the claim protocol for one agent and one service. Its methods take events with
// the current time and return the actions to carry out. It reads no clock and is not safe for concurrent use.
//
// A request may run only after its claim was read back from the log as the first one for the key, because only the
// order of the log decides between concurrent claims.
type ClaimProtocol struct {
	cfg      ProtocolConfig
	fold     KeyLookup
	ready    bool
	requests map[uint64]*request
	// pendingResults are the Done and Abandon records that are not in a batch yet.
	pendingResults []*ferrypb.KeyRecord
	// pendingBatch is the batch whose append has no result yet; nil if there is none.
	pendingBatch *ferrypb.KeyBatch
	// unresolved is set while it is unknown whether pendingBatch was stored.
	unresolved bool
	// inFlight is set from an Append or Resolve action to the call of HandleAppendResult.
	inFlight bool
	// nextAppendAt is the earliest time of the next Append or Resolve.
	nextAppendAt time.Time
	// claimCount numbers the claims of this incarnation.
	claimCount uint64
}

// NewClaimProtocol returns a state machine that refuses requests until SetReady; fold is updated by the caller.
func NewClaimProtocol(cfg ProtocolConfig, fold KeyLookup) *ClaimProtocol {
	return &ClaimProtocol{cfg: cfg, fold: fold, requests: map[uint64]*request{}}
}

// SetReady allows claims. It is called once the fold has reached the end of the log.
func (c *ClaimProtocol) SetReady() { c.ready = true }

// SetAppendInterval changes ProtocolConfig.AppendInterval.
func (c *ClaimProtocol) SetAppendInterval(d time.Duration) { c.cfg.AppendInterval = d }

// Acquire starts a request for a key. The id must be new, and hash identifies the content of the request.
func (c *ClaimProtocol) Acquire(now time.Time, id uint64, key string, hash uint64) []Action {
	if !c.ready {
		return []Action{Reply{ID: id, Verdict: c.refusalVerdict(now, key, hash)}}
	}
	r := &request{id: id, key: key, hash: hash, arrivedAt: now}
	c.requests[id] = r
	if e, ok := c.fold.Lookup(key, now.UnixMilli()); ok {
		r.phase = awaitingResult
		if v, settled := c.decide(now, r, e); settled {
			return c.addReply(nil, r, v)
		}
	}
	return c.Tick(now)
}

// Cancel ends a request that has no verdict yet, because its caller no longer waits for it.
func (c *ClaimProtocol) Cancel(now time.Time, id uint64) []Action {
	r, ok := c.requests[id]
	if ok && r.phase != granted {
		c.withdraw(r)
	}
	return c.Tick(now)
}

// Finish queues the result of a request that has run. It fills in the key and claim id, and omits a body larger than
// MaxStoredBodyBytes.
func (c *ClaimProtocol) Finish(now time.Time, id uint64, d *ferrypb.KeyDone) []Action {
	r, ok := c.requests[id]
	if !ok || r.phase != granted {
		return nil
	}
	d.Key = r.key
	d.ClaimId = r.claimID
	if len(d.Body) > MaxStoredBodyBytes {
		d.Body = nil
		d.BodyOmitted = true
	}
	delete(c.requests, id)
	c.pendingResults = append(c.pendingResults, &ferrypb.KeyRecord{Record: &ferrypb.KeyRecord_Done{Done: d}})
	return c.Tick(now)
}

// Abandon ends a request that has permission to run but was never sent to the backend server, and frees its key.
func (c *ClaimProtocol) Abandon(now time.Time, id uint64) []Action {
	r, ok := c.requests[id]
	if !ok || r.phase != granted {
		return nil
	}
	c.queueAbandon(r)
	return c.Tick(now)
}

// queueAbandon ends a request whose claim has won, and queues the record that frees its key.
func (c *ClaimProtocol) queueAbandon(r *request) {
	delete(c.requests, r.id)
	c.pendingResults = append(c.pendingResults, &ferrypb.KeyRecord{Record: &ferrypb.KeyRecord_Abandon{
		Abandon: &ferrypb.KeyAbandon{Key: r.key, ClaimId: r.claimID}}})
}

// withdraw ends a request without permission to run. If its claim may be stored, the request is kept as withdrawn until
// the claim was read back or is known not to be stored.
func (c *ClaimProtocol) withdraw(r *request) {
	if r.phase == appending || r.phase == awaitingReadBack {
		r.phase = withdrawn
		return
	}
	if r.phase != withdrawn {
		delete(c.requests, r.id)
	}
}

// HandleAppendResult handles the result of the last Append or Resolve.
func (c *ClaimProtocol) HandleAppendResult(now time.Time, offset uint64, err error) []Action {
	c.inFlight = false
	if err == nil {
		c.handleStored(offset)
		return c.Tick(now)
	}
	c.nextAppendAt = now.Add(max(appendRetryDelay, c.cfg.AppendInterval))
	if failure.From(err).Outcome != failure.NotRun {
		c.unresolved = true
		return c.Tick(now)
	}
	if c.unresolved {
		return c.Tick(now)
	}
	return append(c.handleNotStored(now), c.Tick(now)...)
}

// handleStored handles a batch that was stored at offset.
func (c *ClaimProtocol) handleStored(offset uint64) {
	for _, r := range c.requests {
		if r.inBatch() && r.offset == 0 {
			r.offset = offset
		}
		if r.phase == appending {
			r.phase = awaitingReadBack
		}
	}
	c.pendingBatch = nil
	c.unresolved = false
}

// inBatch reports whether the claim of the request may be in the pending batch.
func (r *request) inBatch() bool { return r.phase == appending || r.phase == withdrawn }

// handleNotStored handles a batch that is known not to be in the log. It refuses the claims and queues the results
// again.
func (c *ClaimProtocol) handleNotStored(now time.Time) []Action {
	var out []Action
	for _, r := range c.sortedRequests() {
		switch {
		case r.phase == appending:
			delete(c.requests, r.id)
			out = append(out, Reply{ID: r.id, Verdict: c.refusalVerdict(now, r.key, r.hash)})
		case r.phase == withdrawn && r.offset == 0:
			delete(c.requests, r.id)
		}
	}
	var unstored []*ferrypb.KeyRecord
	for _, rec := range c.pendingBatch.GetRecords() {
		if rec.GetClaim() == nil {
			unstored = append(unstored, rec)
		}
	}
	c.pendingResults = append(unstored, c.pendingResults...)
	c.pendingBatch = nil
	return out
}

// sortedRequests returns the requests in order of their ids.
func (c *ClaimProtocol) sortedRequests() []*request {
	out := make([]*request, 0, len(c.requests))
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		out = append(out, c.requests[id])
	}
	return out
}

// addReply adds the Reply for a request. A granted request is kept until Finish or Abandon; others are withdrawn.
func (c *ClaimProtocol) addReply(out []Action, r *request, v Verdict) []Action {
	if v.Run {
		r.phase = granted
	} else {
		c.withdraw(r)
	}
	return append(out, Reply{ID: r.id, Verdict: v})
}

func (c *ClaimProtocol) nextClaimID() string {
	c.claimCount++
	return c.cfg.Incarnation + "/" + strconv.FormatUint(c.claimCount, 10)
}

// idle reports whether there are no requests, unstored results or appends.
func (c *ClaimProtocol) idle() bool {
	return len(c.requests) == 0 && len(c.pendingResults) == 0 && c.pendingBatch == nil
}
