package rules1

import (
	"strconv"

	"trefoilferry.example/ferry/api/ferrypb"
)

// checkRelations checks the rules that span several objects.
func (v *validator) checkRelations() {
	firstByTarget := map[objectID]*ferrypb.Object{}
	for _, o := range v.sorted {
		switch o.Kind {
		case KindAdapter:
			v.checkAdapterName(o)
		case KindCap:
			v.checkSingleTarget(firstByTarget, o, "member")
		case KindPlacement:
			v.checkSingleTarget(firstByTarget, o, "model")
		}
	}
}

// checkAdapterName refuses an adapter with the name of a model, because callers name either in the same request field.
func (v *validator) checkAdapterName(o *ferrypb.Object) {
	if _, ok := v.objects[objectID{KindModel, o.Name}]; ok {
		v.addProblem(o, "", "a model has the same name")
	}
}

// checkSingleTarget refuses a second object of a kind for the same target, since it would be ambiguous which one applies.
// key is the key that names the target.
func (v *validator) checkSingleTarget(firstByTarget map[objectID]*ferrypb.Object, o *ferrypb.Object, key string) {
	target, ok := o.Values[key]
	if !ok {
		return
	}
	other, found := firstByTarget[objectID{o.Kind, target}]
	if found && other.Name != o.Name {
		v.addProblem(o, key, target+" is already the target of "+o.Kind+" "+strconv.Quote(other.Name))
		return
	}
	firstByTarget[objectID{o.Kind, target}] = o
}
