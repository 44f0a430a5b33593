package queue

import (
	"math"

	"trefoilferry.example/ferry/pkg/object"
)

// memberCap is the limit for one member on this runner.
type memberCap struct {
	// share is the fraction of the slots that the member may hold under contention.
	share float64
	// maxQueued bounds the member's waiting requests; 0 means no bound.
	maxQueued int
}

// capTable holds the limits by member.
type capTable map[member]memberCap

// newCapTable returns the limits by member. If several caps name the same member, the tightest limits apply.
func newCapTable(caps []*object.Cap) capTable {
	out := capTable{}
	for _, c := range caps {
		m := member{c.MemberKind, c.Member}
		limit := memberCap{share: c.Share, maxQueued: c.MaxQueued}
		if old, ok := out[m]; ok {
			limit = tighter(limit, old)
		}
		out[m] = limit
	}
	return out
}

func tighter(a, b memberCap) memberCap {
	out := memberCap{share: min(a.share, b.share), maxQueued: a.maxQueued}
	if out.maxQueued == 0 || (b.maxQueued > 0 && b.maxQueued < out.maxQueued) {
		out.maxQueued = b.maxQueued
	}
	return out
}

// slotLimit returns the number of slots that the member may hold under contention. It is at least 1, so that no member
// starves.
func (c memberCap) slotLimit(slots int) int {
	return max(1, int(math.Floor(c.share*float64(slots)+shareTolerance)))
}

// shareTolerance compensates for shares such as 0.1 that have no exact binary representation.
const shareTolerance = 1e-9
