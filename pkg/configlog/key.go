package configlog

import (
	"cmp"
	"maps"
	"slices"

	"trefoilferry.example/ferry/api/ferrypb"
)

// key identifies an object.
type key struct {
	kind string
	name string
}

func keyOf(o *ferrypb.Object) key {
	return key{o.GetKind(), o.GetName()}
}

func keyFromMessage(k *ferrypb.ObjectKey) key {
	return key{k.GetKind(), k.GetName()}
}

func (k key) message() *ferrypb.ObjectKey {
	return &ferrypb.ObjectKey{Kind: k.kind, Name: k.name}
}

// label returns kind/name.
func (k key) label() string {
	return k.kind + "/" + k.name
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}

func sortedKeys[T any](m map[key]T) []key {
	return slices.SortedFunc(maps.Keys(m), compareKeys)
}
