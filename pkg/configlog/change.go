package configlog

import (
	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/object"
)

// Change is a set of modifications to publish.
type Change struct {
	Puts    []*ferrypb.Object
	Deletes []*ferrypb.ObjectKey
	Author  string
}

// IsEmpty reports whether the change contains no modifications.
func (c Change) IsEmpty() bool {
	return len(c.Puts) == 0 && len(c.Deletes) == 0
}

// Effective returns the part of the change that differs from the current configuration. Puts of equal objects and
// deletes of missing ones are left out, so that publishing the same files again changes nothing.
func (c Change) Effective(f *Fold) Change {
	out := Change{Author: c.Author}
	for _, o := range c.Puts {
		current, ok := f.objects[keyOf(o)]
		if !ok || !proto.Equal(current.Object, o) {
			out.Puts = append(out.Puts, o)
		}
	}
	for _, d := range c.Deletes {
		if _, ok := f.objects[keyFromMessage(d)]; ok {
			out.Deletes = append(out.Deletes, d)
		}
	}
	return out
}

// Prepare returns a change set whose base consists of the current versions of the objects that it modifies.
func (c Change) Prepare(f *Fold, id string) *ferrypb.ChangeSet {
	cs := &ferrypb.ChangeSet{Id: id, Puts: c.Puts, Deletes: c.Deletes, Author: c.Author, Rules: object.CurrentRules}
	for _, k := range touchedKeys(cs) {
		cs.Base = append(cs.Base, &ferrypb.BaseVersion{Key: k.message(), Version: f.version(k)})
	}
	return cs
}

// Validate applies the current rules to the complete configuration as it would be with the change set applied, and
// returns the problems found.
func (f *Fold) Validate(cs *ferrypb.ChangeSet) []object.Problem {
	_, problems := object.NewSet(f.offset, f.objectsAfter(cs))
	return problems
}
