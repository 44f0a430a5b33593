package configlog

import (
	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/object"
)

// evaluate returns the verdict on a change set without changing the fold. The verdict depends on the order of the
// checks, so the order must not change, just as the released rules must not.
func (f *Fold) evaluate(cs *ferrypb.ChangeSet) *ferrypb.HistoryEntry {
	rules, ok := object.RulesForVersion(cs.GetRules())
	if !ok {
		return refused(ReasonUnknownRules, "")
	}
	base, label, ok := baseVersions(cs)
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
	if label, ok := f.checkDeletes(cs); !ok {
		return refused(ReasonInvalid, label)
	}
	if problems := rules(f.objectsAfter(cs)); len(problems) > 0 {
		return refused(ReasonInvalid, problems[0].Object)
	}
	return &ferrypb.HistoryEntry{Accepted: true}
}

func refused(reason, label string) *ferrypb.HistoryEntry {
	return &ferrypb.HistoryEntry{Reason: reason, Object: label}
}

// baseVersions returns the expected version of each object. It returns false for a change set without id or changes,
// for an object that is modified twice or has two base versions, and for a modified object without a base version;
// label then names the object.
func baseVersions(cs *ferrypb.ChangeSet) (base map[key]uint64, label string, ok bool) {
	base = map[key]uint64{}
	for _, b := range cs.GetBase() {
		k := keyFromMessage(b.GetKey())
		if _, duplicate := base[k]; duplicate {
			return nil, k.label(), false
		}
		base[k] = b.GetVersion()
	}
	touched := map[key]bool{}
	for _, k := range touchedKeys(cs) {
		if _, hasBase := base[k]; !hasBase || touched[k] {
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
		out = append(out, keyFromMessage(d))
	}
	return out
}

func (f *Fold) checkDeletes(cs *ferrypb.ChangeSet) (string, bool) {
	for _, d := range cs.GetDeletes() {
		if _, ok := f.objects[keyFromMessage(d)]; !ok {
			return keyFromMessage(d).label(), false
		}
	}
	return "", true
}

// objectsAfter returns all objects as they would be with the change set applied, in no particular order. The rules
// do not depend on the order.
func (f *Fold) objectsAfter(cs *ferrypb.ChangeSet) []*ferrypb.Object {
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
