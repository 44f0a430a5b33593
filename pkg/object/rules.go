package object

import (
	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/inifile"
	"trefoilferry.example/ferry/pkg/object/rules1"
)

// CurrentRules is the version of the acceptance rules that publishers use.
const CurrentRules uint32 = rules1.Version

// Rules judges a whole set and returns every reason to refuse it.
type Rules func(objects []*ferrypb.Object) []Problem

// RulesOf returns the rules of a version; false if this software does not know it.
func RulesOf(version uint32) (Rules, bool) {
	if version == rules1.Version {
		return validate1, true
	}
	return nil, false
}

// validate1 adds suggestions to the verdict of rules version 1. They are no part of the frozen rules.
func validate1(objects []*ferrypb.Object) []Problem {
	var out []Problem
	for _, p := range rules1.Validate(objects) {
		out = append(out, Problem{Object: p.Kind + "/" + p.Name, Key: p.Key, Message: p.Message + suggestion(p)})
	}
	return out
}

func suggestion(p rules1.Problem) string {
	switch p.Message {
	case rules1.UnknownKind:
		return inifile.Suggest(p.Kind, KindNames())
	case rules1.UnknownKey:
		return inifile.Suggest(p.Key, keyNames(p.Kind))
	}
	return ""
}

// KindNames returns the names of all kinds.
func KindNames() []string {
	var names []string
	for _, kind := range rules1.Kinds() {
		names = append(names, kind.Name)
	}
	return names
}

func keyNames(kindName string) []string {
	kind, _ := rules1.FindKind(kindName)
	var names []string
	for _, key := range kind.Keys {
		names = append(names, key.Name)
	}
	return names
}

// KnownKind reports whether there are objects of that kind.
func KnownKind(name string) bool {
	_, ok := rules1.FindKind(name)
	return ok
}
