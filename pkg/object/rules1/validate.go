package rules1

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"trefoilferry.example/ferry/api/ferrypb"
)

// objectID identifies an object.
type objectID struct {
	kind string
	name string
}

// validator collects the problems of one set of objects.
type validator struct {
	objects  map[objectID]*ferrypb.Object
	sorted   []*ferrypb.Object
	problems []Problem
}

// Validate returns all problems of the set, sorted by kind, name, key and message; none means that the set is accepted.
// The result does not depend on the order of objects.
func Validate(objects []*ferrypb.Object) []Problem {
	v := &validator{objects: map[objectID]*ferrypb.Object{}}
	v.sorted = slices.SortedStableFunc(slices.Values(objects), compareObjects)
	for _, o := range v.sorted {
		v.indexObject(o)
	}
	for _, o := range v.sorted {
		v.checkObject(o)
	}
	v.checkRelations()
	return slices.SortedStableFunc(slices.Values(v.problems), compareProblems)
}

func compareObjects(a, b *ferrypb.Object) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

func compareProblems(a, b Problem) int {
	return cmp.Or(
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.Key, b.Key),
		cmp.Compare(a.Message, b.Message),
	)
}

func (v *validator) addProblem(o *ferrypb.Object, key, message string) {
	v.problems = append(v.problems, Problem{Kind: o.Kind, Name: o.Name, Key: key, Message: message})
}

func (v *validator) indexObject(o *ferrypb.Object) {
	id := objectID{o.Kind, o.Name}
	if _, ok := v.objects[id]; ok {
		v.addProblem(o, "", "object is defined twice")
		return
	}
	v.objects[id] = o
}

func (v *validator) checkObject(o *ferrypb.Object) {
	kind, ok := FindKind(o.Kind)
	if !ok {
		v.addProblem(o, "", UnknownKind)
		return
	}
	if !validName(o.Name) {
		v.addProblem(o, "", "name needs 1 to "+strconv.Itoa(maxNameBytes)+" letters, digits, dots, underscores or hyphens and starts with a letter or digit")
	}
	for name := range o.Values {
		if _, ok := kind.FindKey(name); !ok {
			v.addProblem(o, name, UnknownKey)
		}
	}
	for _, key := range kind.Keys {
		v.checkKey(o, key)
	}
}

func (v *validator) checkKey(o *ferrypb.Object, key Key) {
	if _, ok := o.Values[key.Name]; !ok && key.Default == "" {
		v.addProblem(o, key.Name, "required key is missing")
		return
	}
	raw := key.Value(o.Values)
	if message := checkValue(key, raw); message != "" {
		v.addProblem(o, key.Name, message)
		return
	}
	if key.Type == Reference {
		v.checkReference(o, key.Name, objectID{key.Kind, raw})
	}
	if key.Type == Member {
		kind, name, _ := ParseMember(raw)
		v.checkReference(o, key.Name, objectID{kind, name})
	}
	if key.Name == "idempotent_methods" {
		v.checkMethods(o, ParseList(raw))
	}
}

func (v *validator) checkReference(o *ferrypb.Object, key string, target objectID) {
	if _, ok := v.objects[target]; !ok {
		v.addProblem(o, key, target.kind+" "+strconv.Quote(target.name)+" does not exist")
	}
}

func (v *validator) checkMethods(o *ferrypb.Object, methods []string) {
	for _, method := range methods {
		if strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			v.addProblem(o, "idempotent_methods", strconv.Quote(method)+" is not an HTTP method in upper case")
		}
	}
}
