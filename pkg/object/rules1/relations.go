package rules1

import (
	"strconv"

	"trefoilferry.example/ferry/api/ferrypb"
)

// relations checks rules that concern several objects.
func (v *validator) relations() {
	first := map[id]*ferrypb.Object{}
	for _, o := range v.order {
		switch o.Kind {
		case KindAdapter:
			v.callersName(o)
		case KindCap:
			v.single(first, o, "member")
		case KindPlacement:
			v.single(first, o, "model")
		}
	}
}

// callersName refuses an adapter with the name of a model, because callers name both in one field.
func (v *validator) callersName(o *ferrypb.Object) {
	if _, ok := v.objects[id{KindModel, o.Name}]; ok {
		v.add(o, "", "a model has the same name")
	}
}

// single refuses a second object of a kind for the same target; which of both applies would be unclear.
func (v *validator) single(first map[id]*ferrypb.Object, o *ferrypb.Object, key string) {
	target, ok := o.Values[key]
	if !ok {
		return
	}
	other, taken := first[id{o.Kind, target}]
	if taken && other.Name != o.Name {
		v.add(o, key, target+" is already the target of "+o.Kind+" "+strconv.Quote(other.Name))
		return
	}
	first[id{o.Kind, target}] = o
}
