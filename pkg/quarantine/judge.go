package quarantine

import (
	"slices"
	"time"
)

// Judge keeps the list of one decider up to date with its evidence. It is not safe for concurrent use.
type Judge struct {
	Evidence *Evidence
	List     *List
	// Known holds entries of another decider, which explain crashes as well.
	Known *List
	// cautious is set for a judge that sees only a part of the crashes and of what runners survive.
	cautious bool
}

// NewJudge returns a judge without evidence or entries.
func NewJudge() *Judge { return &Judge{Evidence: NewEvidence(), List: &List{}, Known: &List{}} }

// newCautiousJudge returns a judge for the evidence of one daemon: it bars only parts that this daemon has never seen
// survived and that were in begun requests at minCrashes crashes.
func newCautiousJudge() *Judge {
	j := NewJudge()
	j.cautious = true
	return j
}

// Merge adds entries of an earlier decider.
func (j *Judge) Merge(entries []Entry) {
	j.List = NewList(append(entries, j.List.entries...))
}

// Entries returns the entries in force, and the provisional ones.
func (j *Judge) Entries(now time.Time) []Entry {
	return append(j.List.Entries(now), j.Evidence.provisional(now)...)
}

// Step updates the list. It returns the entries that were added and those that were lifted, because runners have
// survived all of their parts since the last crash.
func (j *Judge) Step(now time.Time) (added, lifted []Entry) {
	j.Evidence.Expire(now)
	j.List = j.List.without(func(e *Entry) bool {
		if now.After(e.Until) {
			return true
		}
		if !j.survived(e) {
			return false
		}
		lifted = append(lifted, *e)
		return true
	})
	added = j.culprits(now)
	if len(added) > 0 {
		j.List = NewList(append(added, j.List.entries...))
	}
	return added, lifted
}

func (j *Judge) survived(e *Entry) bool {
	for _, part := range e.Parts {
		if !j.Evidence.sound.at(part).After(e.LastCrash) {
			return false
		}
	}
	return true
}

// unexplained returns the crashes that no entry explains, oldest first.
func (j *Judge) unexplained() []*Crash {
	var out []*Crash
	for _, c := range j.Evidence.crashes {
		if !j.List.explains(c) && !j.Known.explains(c) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *Crash) int { return a.At.Compare(b.At) })
	return out
}

// pendingTime is how long after a crash the next report may bring the verdict.
const pendingTime = 2 * time.Second

// Pending reports whether a verdict on a recent crash is due.
func (j *Judge) Pending(now time.Time) bool {
	for _, c := range j.Evidence.crashes {
		if now.Sub(c.reportedAt) < pendingTime && !j.List.explains(c) {
			return true
		}
	}
	return false
}
