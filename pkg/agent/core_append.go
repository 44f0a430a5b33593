package agent

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/timeline"
)

// appendState tracks the one append that may be outstanding. The next decision waits until the record was read back,
// so that every decision rests on the verdict about the one before.
type appendState struct {
	ref         uint64
	outstanding bool
	readBack    uint64
	pause       time.Time
	// abandoned is the claim that the last record gives up; 0 for another record.
	abandoned uint64
}

// abandoning reports whether a record that gives the claim up may be in the log and was not read back.
func (c *Core) abandoning(claim uint64) bool {
	pending := c.append.outstanding || c.append.readBack > c.placementOffset
	return pending && c.append.abandoned == claim
}

func (e AppendDone) apply(c *Core) {
	if e.Ref != c.append.ref || !c.append.outstanding {
		return
	}
	c.append.outstanding = false
	if e.Err != nil {
		c.append.pause = c.now.Add(c.limits.RetryAfter)
		return
	}
	c.append.readBack = e.Offset
}

// decideAppend appends the most urgent record, if any.
func (c *Core) decideAppend() {
	if c.append.outstanding || c.append.readBack > c.placementOffset || c.now.Before(c.append.pause) {
		return
	}
	record := c.nextRecord()
	if record == nil {
		return
	}
	c.append.ref++
	c.append.outstanding = true
	c.append.abandoned = record.GetAbandon().GetClaim()
	c.noteRecord(record)
	c.do(AppendRecord{Ref: c.append.ref, Record: record})
}

func (c *Core) nextRecord() *ferrypb.PlacementRecord {
	if c.announceDue() {
		return c.agentStart()
	}
	if !c.commands() {
		return nil
	}
	for _, next := range []func() *ferrypb.PlacementRecord{c.nextOwnRecord, c.nextPlanned, c.nextEvict} {
		if record := next(); record != nil {
			return record
		}
	}
	return nil
}

func (c *Core) noteRecord(r *ferrypb.PlacementRecord) {
	switch {
	case r.GetClaim() != nil:
		c.note(timeline.ClaimAppended, "model/"+r.GetClaim().GetModel(), r.GetClaim().GetKind().String())
	case r.GetRelease() != nil:
		c.note(timeline.ReleaseAppended, "model/"+c.modelOf(r.GetRelease().GetClaim()), "")
	case r.GetEvict() != nil:
		c.do(AddTimeline{Event: timeline.Event{Kind: timeline.RunnerEvicted, Host: r.GetEvict().GetRunner()}})
	}
}

func (c *Core) modelOf(claim uint64) string {
	own, _ := c.placement.Copy(claim)
	return own.Model
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
