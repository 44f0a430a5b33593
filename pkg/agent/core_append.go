package agent

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/timeline"
)

// appendState tracks the one append that may be outstanding. The next record is chosen only after the previous one has
// been read from the log, because the fold may have refused it.
type appendState struct {
	ref         uint64
	outstanding bool
	// awaitedOffset is the offset of the last appended record.
	awaitedOffset uint64
	retryAt       time.Time
	// abandonedClaim is the claim that the last record abandons; 0 for other kinds of record.
	abandonedClaim uint64
}

// abandoning reports whether an Abandon record for the claim may be in the log but has not been read yet.
func (c *Core) abandoning(claim uint64) bool {
	pending := c.append.outstanding || c.append.awaitedOffset > c.placementOffset
	return pending && c.append.abandonedClaim == claim
}

func (e AppendDone) apply(c *Core) {
	if e.Ref != c.append.ref || !c.append.outstanding {
		return
	}
	c.append.outstanding = false
	if e.Err != nil {
		c.append.retryAt = c.now.Add(c.limits.RetryAfter)
		return
	}
	c.append.awaitedOffset = e.Offset
}

// decideAppend appends the most urgent record, if there is one and no earlier append is pending.
func (c *Core) decideAppend() {
	if c.append.outstanding || c.append.awaitedOffset > c.placementOffset || c.now.Before(c.append.retryAt) {
		return
	}
	record := c.nextRecord()
	if record == nil {
		return
	}
	c.append.ref++
	c.append.outstanding = true
	c.append.abandonedClaim = record.GetAbandon().GetClaim()
	c.addRecordTimeline(record)
	c.emit(AppendRecord{Ref: c.append.ref, Record: record})
}

func (c *Core) nextRecord() *ferrypb.PlacementRecord {
	if c.announceDue() {
		return c.agentStart()
	}
	if !c.authorized() {
		return nil
	}
	for _, next := range []func() *ferrypb.PlacementRecord{c.nextCopyRecord, c.nextPlanned, c.nextEvict} {
		if record := next(); record != nil {
			return record
		}
	}
	return nil
}

func (c *Core) addRecordTimeline(r *ferrypb.PlacementRecord) {
	switch {
	case r.GetClaim() != nil:
		c.addTimeline(timeline.ClaimAppended, "model/"+r.GetClaim().GetModel(), r.GetClaim().GetKind().String())
	case r.GetRelease() != nil:
		c.addTimeline(timeline.ReleaseAppended, "model/"+c.modelOf(r.GetRelease().GetClaim()), "")
	case r.GetEvict() != nil:
		c.emit(AddTimeline{Event: timeline.Event{Kind: timeline.RunnerEvicted, Host: r.GetEvict().GetRunner()}})
	}
}

func (c *Core) modelOf(claim uint64) string {
	cp, _ := c.placement.Copy(claim)
	return cp.Model
}

func (c *Core) readyRecord(claim uint64, unsettled bool) *ferrypb.PlacementRecord {
	ready := &ferrypb.Ready{Claim: claim, Runner: c.id.Runner, Fencing: c.fencing, Unsettled: unsettled}
	return &ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Ready{Ready: ready}}
}

func (c *Core) releaseRecord(claim uint64, keep uint32) *ferrypb.PlacementRecord {
	release := &ferrypb.Release{Claim: claim, Runner: c.id.Runner, Fencing: c.fencing, Keep: keep}
	return &ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Release{Release: release}}
}

func (c *Core) freedRecord(claim uint64) *ferrypb.PlacementRecord {
	freed := &ferrypb.Freed{Claim: claim, Runner: c.id.Runner, Fencing: c.fencing}
	return &ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Freed{Freed: freed}}
}

func (c *Core) abandonRecord(claim uint64) *ferrypb.PlacementRecord {
	abandon := &ferrypb.Abandon{Claim: claim, Runner: c.id.Runner, Fencing: c.fencing}
	return &ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Abandon{Abandon: abandon}}
}
