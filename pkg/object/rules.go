package object

import (
	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/inifile"
	"trefoilferry.example/ferry/pkg/object/rules1"
)

// CurrentRules is the version of the acceptance rules for newly published change sets.
const CurrentRules uint32 = rules1.Version

// Rules validates a whole set of objects and returns all problems found; none means that the set is accepted.
type Rules func(objects []*ferrypb.Object) []Problem

// RulesForVersion returns the rules of a version, or false if this build does not know the version.
func RulesForVersion(version uint32) (Rules, bool) {
	if version == rules1.Version {
		return validateV1, true
	}
	return nil, false
}

// validateV1 applies version 1 of the rules and adds spelling suggestions, which are not part of the frozen rules.
func validateV1(objects []*ferrypb.Object) []Problem {
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

// KnownKind reports whether name is the name of a kind.
func KnownKind(name string) bool {
	_, ok := rules1.FindKind(name)
	return ok
}
