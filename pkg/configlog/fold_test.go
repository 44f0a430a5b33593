package configlog

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/stream"
)

var _ stream.Fold = (*Fold)(nil)

func model(name, version string) *ferrypb.Object {
	return &ferrypb.Object{Kind: "model", Name: name, Values: map[string]string{"version": version, "bytes": "8GiB", "priority": "1"}}
}

func adapter(name, base string) *ferrypb.Object {
	return &ferrypb.Object{Kind: "adapter", Name: name, Values: map[string]string{"model": base, "bytes": "1MiB"}}
}

func record(cs *ferrypb.ChangeSet) *ferrypb.Envelope {
	return &ferrypb.Envelope{Format: Format, Writer: "w", UnixMillis: 5, Payload: &ferrypb.Envelope_ChangeSet{ChangeSet: cs}}
}

// drawObject draws from a few names, so that change sets often conflict, refer to each other or break rules.
func drawObject(t *rapid.T) *ferrypb.Object {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	if rapid.Bool().Draw(t, "adapter") {
		return adapter("x"+name, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "base"))
	}
	return model(name, rapid.SampledFrom([]string{"1", "2", ""}).Draw(t, "version"))
}

// drawRecord draws a record, usually a change set that is based on the state of f.
func drawRecord(t *rapid.T, f *Fold, i int) *ferrypb.Envelope {
	if rapid.IntRange(0, 9).Draw(t, "noise") == 0 {
		return rapid.SampledFrom([]*ferrypb.Envelope{nil, {Format: 9}, {Format: Format}}).Draw(t, "junk")
	}
	change := Change{Author: "t"}
	touched := map[key]bool{}
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		o := drawObject(t)
		if touched[keyOf(o)] {
			continue
		}
		touched[keyOf(o)] = true
		if rapid.IntRange(0, 2).Draw(t, "delete") == 0 {
			change.Deletes = append(change.Deletes, keyOf(o).message())
		} else {
			change.Puts = append(change.Puts, o)
		}
	}
	cs := change.Prepare(f, fmt.Sprintf("id%d", rapid.IntRange(0, i).Draw(t, "id")))
	if len(cs.Base) > 0 && rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		cs.Base[0].Version++
	}
	if rapid.IntRange(0, 19).Draw(t, "rules") == 0 {
		cs.Rules = 99
	}
	return record(cs)
}

// Guards against processes with different states after the same records: because one started from a checkpoint,
// because its maps iterate in another order, or because a refused change set left something behind.
func TestFoldIsAFunctionOfTheRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reference := NewFold()
		var records []*ferrypb.Envelope
		for i := range rapid.IntRange(1, 40).Draw(t, "records") {
			e := drawRecord(t, reference, i)
			records = append(records, e)
			before := reference.Checkpoint()
			reference.Apply(uint64(i+1), e)
			checkUnchangedUnlessAccepted(t, reference, before)
		}
		want := reference.Checkpoint()
		at := rapid.IntRange(0, len(records)).Draw(t, "checkpoint at")
		split := replay(t, records, at)
		if !proto.Equal(split.Checkpoint(), want) {
			t.Fatalf("state after a restart from a checkpoint at record %d differs from the state without one", at)
		}
		if got := len(split.Set().Models()); got != len(reference.Set().Models()) || split.Set().Offset != reference.Offset() {
			t.Fatalf("set has %d models at offset %d after a restart from a checkpoint, want %d at %d", got, split.Set().Offset, len(reference.Set().Models()), reference.Offset())
		}
	})
}

func checkUnchangedUnlessAccepted(t *rapid.T, f *Fold, before *ferrypb.Checkpoint) {
	history := f.History()
	if len(history) > 0 && history[len(history)-1].Offset == f.Offset() && history[len(history)-1].Accepted {
		return
	}
	after := f.Checkpoint().GetConfig()
	after.Offset, after.History = before.GetConfig().Offset, before.GetConfig().History
	if !proto.Equal(after, before.GetConfig()) {
		t.Fatalf("the record at offset %d was not accepted but changed the configuration", f.Offset())
	}
}

// replay applies the records, restarting from a checkpoint after k of them. Each record is encoded and decoded again,
// which changes the iteration order of its maps.
func replay(t *rapid.T, records []*ferrypb.Envelope, k int) *Fold {
	f := NewFold()
	for i, e := range records {
		if i == k {
			f = roundTripCheckpoint(t, f)
		}
		if e != nil {
			data, _ := proto.Marshal(e)
			e = &ferrypb.Envelope{}
			_ = proto.Unmarshal(data, e)
			reversePuts(e.GetChangeSet())
		}
		f.Apply(uint64(i+1), e)
	}
	return f
}

func reversePuts(cs *ferrypb.ChangeSet) {
	for i, j := 0, len(cs.GetPuts())-1; i < j; i, j = i+1, j-1 {
		cs.Puts[i], cs.Puts[j] = cs.Puts[j], cs.Puts[i]
	}
}

func roundTripCheckpoint(t *rapid.T, f *Fold) *Fold {
	data, err := proto.Marshal(f.Checkpoint())
	if err != nil {
		t.Fatal(err)
	}
	c := &ferrypb.Checkpoint{}
	_ = proto.Unmarshal(data, c)
	out := NewFold()
	if err := out.Restore(c); err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against verdicts on recorded change sets that differ from those of earlier software versions. The golden
// file must never change.
func TestVerdictsAreFrozen(t *testing.T) {
	base := func(name string, version uint64) *ferrypb.BaseVersion {
		return &ferrypb.BaseVersion{Key: &ferrypb.ObjectKey{Kind: "model", Name: name}, Version: version}
	}
	a := &ferrypb.ObjectKey{Kind: "model", Name: "a"}
	sets := []*ferrypb.ChangeSet{
		{Id: "1 put", Rules: 1, Base: []*ferrypb.BaseVersion{base("a", 0)}, Puts: []*ferrypb.Object{model("a", "1")}},
		{Id: "2 stale put", Rules: 1, Base: []*ferrypb.BaseVersion{base("a", 0)}, Puts: []*ferrypb.Object{model("a", "2")}},
		{Id: "3 no base", Rules: 1, Puts: []*ferrypb.Object{model("b", "1")}},
		{Id: "4 empty", Rules: 1},
		{Id: "5 base twice", Rules: 1, Base: []*ferrypb.BaseVersion{base("b", 0), base("b", 0)}, Puts: []*ferrypb.Object{model("b", "1")}},
		{Id: "6 put and delete", Rules: 1, Base: []*ferrypb.BaseVersion{base("a", 1)}, Puts: []*ferrypb.Object{model("a", "1")}, Deletes: []*ferrypb.ObjectKey{a}},
		{Id: "7 delete of absent", Rules: 1, Base: []*ferrypb.BaseVersion{base("b", 0)}, Deletes: []*ferrypb.ObjectKey{{Kind: "model", Name: "b"}}},
		{Id: "8 invalid", Rules: 1, Base: []*ferrypb.BaseVersion{base("b", 0)}, Puts: []*ferrypb.Object{model("b", "")}},
		{Id: "9 unknown rules", Rules: 2, Base: []*ferrypb.BaseVersion{base("b", 0)}, Puts: []*ferrypb.Object{model("b", "1")}},
		{Id: "", Rules: 1, Base: []*ferrypb.BaseVersion{base("b", 0)}, Puts: []*ferrypb.Object{model("b", "1")}},
		{Id: "11 base on an untouched object", Rules: 1, Base: []*ferrypb.BaseVersion{base("a", 7), base("b", 0)}, Puts: []*ferrypb.Object{model("b", "1")}},
		{Id: "12 delete", Rules: 1, Base: []*ferrypb.BaseVersion{base("a", 1)}, Deletes: []*ferrypb.ObjectKey{a}},
		{Id: "13 put over a deletion", Rules: 1, Base: []*ferrypb.BaseVersion{base("a", 0)}, Puts: []*ferrypb.Object{model("a", "1")}},
		{Id: "1 put", Rules: 1, Base: []*ferrypb.BaseVersion{base("a", 12)}, Puts: []*ferrypb.Object{model("a", "1")}},
	}
	f := NewFold()
	for i, cs := range sets {
		f.Apply(uint64(i+1), record(cs))
	}
	var b strings.Builder
	for _, e := range f.History() {
		fmt.Fprintf(&b, "%d %q accepted=%t reason=%q object=%q winner=%d\n", e.Offset, e.Id, e.Accepted, e.Reason, e.Object, e.WinningOffset)
	}
	goldie.New(t).Assert(t, "verdicts", []byte(b.String()))
}

// Guards against a checkpoint of another stream that clears the configuration, and against unbounded history.
func TestRestoreRefusesOtherStreams(t *testing.T) {
	f := NewFold()
	for i := range historyLimit + 5 {
		change := Change{Puts: []*ferrypb.Object{model("a", fmt.Sprint(i))}}
		f.Apply(uint64(i+1), record(change.Prepare(f, fmt.Sprint(i))))
	}
	if err := f.Restore(&ferrypb.Checkpoint{Covers: 9000, State: &ferrypb.Checkpoint_Keys{}}); err == nil {
		t.Fatal("Restore accepted a checkpoint of another stream")
	}
	broken := &ferrypb.ConfigState{Offset: 9000, Objects: []*ferrypb.VersionedObject{{Version: 3}}}
	if err := f.Restore(&ferrypb.Checkpoint{Covers: 9000, State: &ferrypb.Checkpoint_Config{Config: broken}}); err == nil {
		t.Fatal("Restore accepted a version without an object")
	}
	if _, found := f.Verdict("0"); len(f.History()) != historyLimit || found || f.Version("model", "a") != f.Offset() {
		t.Fatalf("%d verdicts, oldest still stored: %v, version of model a: %d; want %d, false, %d", len(f.History()), found, f.Version("model", "a"), historyLimit, f.Offset())
	}
}
