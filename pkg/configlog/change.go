package configlog

import (
	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/object"
)

// Change is what a publisher wants to change.
type Change struct {
	Puts    []*ferrypb.Object
	Deletes []*ferrypb.ObjectKey
	Author  string
}

// Empty reports whether nothing changes.
func (c Change) Empty() bool {
	return len(c.Puts) == 0 && len(c.Deletes) == 0
}

// Effective returns the part of the change that differs from what is in force: puts of equal objects and
// deletes of absent ones are left out, so that publishing the same files again changes nothing.
func (c Change) Effective(f *Fold) Change {
	out := Change{Author: c.Author}
	for _, o := range c.Puts {
		current, ok := f.objects[keyOf(o)]
		if !ok || !proto.Equal(current.Object, o) {
			out.Puts = append(out.Puts, o)
		}
	}
	for _, d := range c.Deletes {
		if _, ok := f.objects[keyFrom(d)]; ok {
			out.Deletes = append(out.Deletes, d)
		}
	}
	return out
}

// Prepare returns the change set with the versions in force as its base.
func (c Change) Prepare(f *Fold, id string) *ferrypb.ChangeSet {
	cs := &ferrypb.ChangeSet{Id: id, Puts: c.Puts, Deletes: c.Deletes, Author: c.Author, Rules: object.CurrentRules}
	for _, k := range touchedKeys(cs) {
		cs.Base = append(cs.Base, &ferrypb.BaseVersion{Key: k.message(), Version: f.version(k)})
	}
	return cs
}

// Validate returns the problems of the whole set with the change set in force, under the current rules.
func (f *Fold) Validate(cs *ferrypb.ChangeSet) []object.Problem {
	_, problems := object.NewSet(f.offset, f.after(cs))
	return problems
}
