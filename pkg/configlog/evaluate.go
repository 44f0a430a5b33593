package configlog

import (
	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/object"
)

// judge decides on a change set without changing the fold. The order of the checks is part of the verdict
// and therefore as frozen as the rules.
func (f *Fold) judge(cs *ferrypb.ChangeSet) *ferrypb.HistoryEntry {
	rules, ok := object.RulesOf(cs.GetRules())
	if !ok {
		return refused(ReasonUnknownRules, "")
	}
	base, label, ok := bases(cs)
	if !ok {
		return refused(ReasonInvalid, label)
	}
	for _, k := range sortedKeys(base) {
		if current := f.version(k); current != base[k] {
			entry := refused(ReasonConflict, k.label())
			entry.WinningOffset = current
			return entry
		}
	}
	if label, ok := f.deletesExist(cs); !ok {
		return refused(ReasonInvalid, label)
	}
	if problems := rules(f.after(cs)); len(problems) > 0 {
		return refused(ReasonInvalid, problems[0].Object)
	}
	return &ferrypb.HistoryEntry{Accepted: true}
}

func refused(reason, label string) *ferrypb.HistoryEntry {
	return &ferrypb.HistoryEntry{Reason: reason, Object: label}
}

// bases returns the expected versions. It fails on a set without id or change, on an object that is
// touched or based upon twice, and on a touched object without a base; label names the object.
func bases(cs *ferrypb.ChangeSet) (base map[key]uint64, label string, ok bool) {
	base = map[key]uint64{}
	for _, b := range cs.GetBase() {
		k := keyFrom(b.GetKey())
		if _, twice := base[k]; twice {
			return nil, k.label(), false
		}
		base[k] = b.GetVersion()
	}
	touched := map[key]bool{}
	for _, k := range touchedKeys(cs) {
		if _, based := base[k]; !based || touched[k] {
			return nil, k.label(), false
		}
		touched[k] = true
	}
	return base, "", cs.GetId() != "" && len(touched) > 0
}

func touchedKeys(cs *ferrypb.ChangeSet) []key {
	var out []key
	for _, o := range cs.GetPuts() {
		out = append(out, keyOf(o))
	}
	for _, d := range cs.GetDeletes() {
		out = append(out, keyFrom(d))
	}
	return out
}

func (f *Fold) deletesExist(cs *ferrypb.ChangeSet) (string, bool) {
	for _, d := range cs.GetDeletes() {
		if _, ok := f.objects[keyFrom(d)]; !ok {
			return keyFrom(d).label(), false
		}
	}
	return "", true
}

// after returns the whole set as it would be with the change set in force, in no particular order;
// the verdict of the rules does not depend on it.
func (f *Fold) after(cs *ferrypb.ChangeSet) []*ferrypb.Object {
	touched := map[key]bool{}
	for _, k := range touchedKeys(cs) {
		touched[k] = true
	}
	out := make([]*ferrypb.Object, 0, len(f.objects)+len(cs.GetPuts()))
	for k, o := range f.objects {
		if !touched[k] {
			out = append(out, o.Object)
		}
	}
	return append(out, cs.GetPuts()...)
}
