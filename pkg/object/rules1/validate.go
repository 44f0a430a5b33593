package rules1

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"trefoilferry.example/ferry/api/ferrypb"
)

// id names an object.
type id struct {
	kind string
	name string
}

// validator collects the problems of one set.
type validator struct {
	objects  map[id]*ferrypb.Object
	order    []*ferrypb.Object
	problems []Problem
}

// Validate returns every reason to refuse the set, in the order of kinds, names and keys.
// The result does not depend on the order of objects.
func Validate(objects []*ferrypb.Object) []Problem {
	v := &validator{objects: map[id]*ferrypb.Object{}}
	v.order = slices.SortedStableFunc(slices.Values(objects), compareObjects)
	for _, o := range v.order {
		v.index(o)
	}
	for _, o := range v.order {
		v.object(o)
	}
	v.relations()
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

func (v *validator) add(o *ferrypb.Object, key, message string) {
	v.problems = append(v.problems, Problem{Kind: o.Kind, Name: o.Name, Key: key, Message: message})
}

func (v *validator) index(o *ferrypb.Object) {
	key := id{o.Kind, o.Name}
	if _, ok := v.objects[key]; ok {
		v.add(o, "", "object is defined twice")
		return
	}
	v.objects[key] = o
}

func (v *validator) object(o *ferrypb.Object) {
	kind, ok := FindKind(o.Kind)
	if !ok {
		v.add(o, "", UnknownKind)
		return
	}
	if !validName(o.Name) {
		v.add(o, "", "name needs 1 to "+strconv.Itoa(maxName)+" letters, digits, dots, underscores or hyphens and starts with a letter or digit")
	}
	for name := range o.Values {
		if _, ok := kind.FindKey(name); !ok {
			v.add(o, name, UnknownKey)
		}
	}
	for _, key := range kind.Keys {
		v.key(o, key)
	}
}

func (v *validator) key(o *ferrypb.Object, key Key) {
	if _, ok := o.Values[key.Name]; !ok && key.Default == "" {
		v.add(o, key.Name, "required key is missing")
		return
	}
	raw := key.Value(o.Values)
	if message := checkValue(key, raw); message != "" {
		v.add(o, key.Name, message)
		return
	}
	if key.Type == Reference {
		v.reference(o, key.Name, id{key.Kind, raw})
	}
	if key.Type == Member {
		kind, name, _ := ParseMember(raw)
		v.reference(o, key.Name, id{kind, name})
	}
	if key.Name == "idempotent_methods" {
		v.methods(o, ParseList(raw))
	}
}

func (v *validator) reference(o *ferrypb.Object, key string, target id) {
	if _, ok := v.objects[target]; !ok {
		v.add(o, key, target.kind+" "+strconv.Quote(target.name)+" does not exist")
	}
}

func (v *validator) methods(o *ferrypb.Object, methods []string) {
	for _, method := range methods {
		if strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			v.add(o, "idempotent_methods", strconv.Quote(method)+" is not an HTTP method in upper case")
		}
	}
}
