package configlog

import (
	"fmt"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// Checkpoint returns the complete state in a fixed order. The messages are shared with the fold and must not be
// modified.
func (f *Fold) Checkpoint() *ferrypb.Checkpoint {
	state := &ferrypb.ConfigState{Offset: f.offset, History: f.history.list()}
	for _, k := range sortedKeys(f.objects) {
		state.Objects = append(state.Objects, f.objects[k])
	}
	for _, k := range sortedKeys(f.tombstones) {
		state.Tombstones = append(state.Tombstones, &ferrypb.Tombstone{Key: k.message(), Version: f.tombstones[k]})
	}
	return &ferrypb.Checkpoint{Covers: f.offset, State: &ferrypb.Checkpoint_Config{Config: state}}
}

// Restore replaces the state by a checkpoint. For a checkpoint of another stream it fails with code RecordInvalid and
// changes nothing.
func (f *Fold) Restore(c *ferrypb.Checkpoint) error {
	state := c.GetConfig()
	if state == nil {
		return failure.New(failure.RecordInvalid, failure.NotRun, "checkpoint contains no configuration")
	}
	if state.GetOffset() != c.GetCovers() {
		return failure.New(failure.RecordInvalid, failure.NotRun, fmt.Sprintf("checkpoint covers offset %d but its state has offset %d", c.GetCovers(), state.GetOffset()))
	}
	restored := NewFold()
	restored.offset = state.GetOffset()
	for _, o := range state.GetObjects() {
		if o.GetObject() == nil {
			return failure.New(failure.RecordInvalid, failure.NotRun, "checkpoint contains a version without an object")
		}
		restored.objects[keyOf(o.GetObject())] = o
	}
	for _, t := range state.GetTombstones() {
		restored.tombstones[keyFromMessage(t.GetKey())] = t.GetVersion()
	}
	for _, e := range state.GetHistory() {
		restored.history.add(e)
	}
	*f = *restored
	return nil
}
