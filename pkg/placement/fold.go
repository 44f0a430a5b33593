package placement

import (
	"cmp"
	"maps"
	"slices"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// Fold is the state of the placement stream, built by replaying its records. It implements stream.Fold.
type Fold struct {
	offset  uint64
	runners map[string]*runnerEntry
	copies  map[uint64]*copyEntry
	// byModel holds the claim offsets of each model's copies.
	byModel  map[string][]uint64
	snapshot *Snapshot
}

type runnerEntry struct {
	start   *ferrypb.AgentStart
	fencing uint64
}

type copyEntry struct {
	offset    uint64
	claim     *ferrypb.Claim
	state     State
	unsettled bool
}

func (c *copyEntry) live() bool { return c.state == Claimed || c.state == Ready }

// NewFold returns an empty fold.
func NewFold() *Fold {
	f := &Fold{}
	f.reset()
	return f
}

func (f *Fold) reset() {
	f.runners = map[string]*runnerEntry{}
	f.copies = map[uint64]*copyEntry{}
	f.byModel = map[string][]uint64{}
	f.snapshot = nil
}

// Offset returns the offset of the last applied record.
func (f *Fold) Offset() uint64 { return f.offset }

// Apply applies the record at offset. A refused record advances the offset and changes nothing else.
func (f *Fold) Apply(offset uint64, e *ferrypb.Envelope) {
	f.offset = offset
	if f.accept(offset, e.GetPlacement()) {
		f.snapshot = nil
	}
}

func (f *Fold) accept(offset uint64, r *ferrypb.PlacementRecord) bool {
	switch rec := r.GetRecord().(type) {
	case *ferrypb.PlacementRecord_AgentStart:
		return f.agentStart(offset, rec.AgentStart)
	case *ferrypb.PlacementRecord_Claim:
		return f.claim(offset, rec.Claim)
	case *ferrypb.PlacementRecord_Ready:
		return f.ready(rec.Ready)
	case *ferrypb.PlacementRecord_Release:
		return f.release(rec.Release)
	case *ferrypb.PlacementRecord_Freed:
		return f.freed(rec.Freed)
	case *ferrypb.PlacementRecord_Abandon:
		return f.abandon(rec.Abandon)
	case *ferrypb.PlacementRecord_Evict:
		return f.evict(rec.Evict)
	default:
		return false
	}
}

// Checkpoint returns the complete state.
func (f *Fold) Checkpoint() *ferrypb.Checkpoint {
	state := &ferrypb.PlacementState{Offset: f.offset}
	for _, offset := range slices.Sorted(maps.Keys(f.copies)) {
		c := f.copies[offset]
		state.Copies = append(state.Copies, &ferrypb.Copy{
			ClaimOffset: offset, Claim: c.claim, State: c.state.proto(), Unsettled: c.unsettled})
	}
	for _, name := range slices.Sorted(maps.Keys(f.runners)) {
		r := f.runners[name]
		state.Runners = append(state.Runners, &ferrypb.RunnerState{Start: r.start, Fencing: r.fencing})
	}
	return &ferrypb.Checkpoint{Covers: f.offset, State: &ferrypb.Checkpoint_Placement{Placement: state}}
}

// Restore replaces the state by that of a checkpoint. It fails with code RecordInvalid for a checkpoint of another
// stream.
func (f *Fold) Restore(c *ferrypb.Checkpoint) error {
	state := c.GetPlacement()
	if state == nil {
		return failure.New(failure.RecordInvalid, failure.NotRun, "checkpoint is not of the placement stream")
	}
	f.reset()
	f.offset = c.Covers
	for _, r := range state.Runners {
		if !r.Evicted {
			f.runners[r.GetStart().GetRunner()] = &runnerEntry{start: r.Start, fencing: r.Fencing}
		}
	}
	copies := slices.Clone(state.Copies)
	slices.SortFunc(copies, func(a, b *ferrypb.Copy) int { return cmp.Compare(a.ClaimOffset, b.ClaimOffset) })
	for _, p := range copies {
		f.add(&copyEntry{offset: p.ClaimOffset, claim: p.GetClaim(), state: stateFromProto(p.State), unsettled: p.Unsettled})
	}
	return nil
}

func (f *Fold) add(c *copyEntry) {
	f.copies[c.offset] = c
	model := c.claim.GetModel()
	f.byModel[model] = append(f.byModel[model], c.offset)
}

func (f *Fold) remove(c *copyEntry) {
	delete(f.copies, c.offset)
	model := c.claim.GetModel()
	left := slices.DeleteFunc(f.byModel[model], func(o uint64) bool { return o == c.offset })
	if len(left) == 0 {
		delete(f.byModel, model)
		return
	}
	f.byModel[model] = left
}
