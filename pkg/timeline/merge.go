package timeline

import (
	"cmp"
	"slices"

	"trefoilferry.example/ferry/api/ferrypb"
)

// Merge returns the events of several processes in one list, each event after those that causally precede it. Events
// with equal Lamport counters are ordered by process name, incarnation and sequence number.
func Merge(snapshots ...*ferrypb.TimelineResponse) []*ferrypb.TimelineEvent {
	var all []*ferrypb.TimelineEvent
	for _, snapshot := range snapshots {
		all = append(all, snapshot.Events...)
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
