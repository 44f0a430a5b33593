package timeline

import (
	"cmp"
	"slices"

	"trefoilferry.example/ferry/api/ferrypb"
)

// Merge returns the events of all rings in an order that agrees with causality.
// Events without a causal relation are ordered by process name and sequence number.
func Merge(rings ...*ferrypb.TimelineResponse) []*ferrypb.TimelineEvent {
	var all []*ferrypb.TimelineEvent
	for _, ring := range rings {
		all = append(all, ring.Events...)
	}
	slices.SortStableFunc(all, compare)
	return all
}

func compare(a, b *ferrypb.TimelineEvent) int {
	return cmp.Or(
		cmp.Compare(a.Lamport, b.Lamport),
		cmp.Compare(a.Process, b.Process),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Seq, b.Seq),
	)
}
