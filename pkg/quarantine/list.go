package quarantine

import (
	"slices"
	"time"
)

// maxEntries bounds a list; every daemon gets the whole list with each view of the fleet.
const maxEntries = 64

// List is an immutable list of entries. The zero value is an empty list.
type List struct {
	entries []Entry
}

// NewList returns a list of the given entries; of two with the same parts the later one counts.
func NewList(entries []Entry) *List {
	byKey := map[string]Entry{}
	for _, e := range entries {
		if old, ok := byKey[e.key()]; !ok || e.Until.After(old.Until) {
			byKey[e.key()] = e
		}
	}
	l := &List{}
	for _, e := range byKey {
		l.entries = append(l.entries, e)
	}
	slices.SortFunc(l.entries, func(a, b Entry) int { return b.Until.Compare(a.Until) })
	l.entries = l.entries[:min(len(l.entries), maxEntries)]
	return l
}

// Entries returns the entries that have not expired.
func (l *List) Entries(now time.Time) []Entry {
	var out []Entry
	for _, e := range l.entries {
		if now.Before(e.Until) {
			out = append(out, e)
		}
	}
	return out
}

// Match returns the entry that bars a request with the given parts; nil if there is none.
func (l *List) Match(parts []string, now time.Time) *Entry {
	for i := range l.entries {
		if e := &l.entries[i]; now.Before(e.Until) && e.covers(parts) {
			return e
		}
	}
	return nil
}

// explains reports whether a request that an entry bars was at the runner when it crashed.
func (l *List) explains(c *Crash) bool {
	for i := range c.Requests {
		for k := range l.entries {
			if l.entries[k].covers(c.Requests[i].Parts) {
				return true
			}
		}
	}
	return false
}

// without returns the list without the entries for which drop returns true.
func (l *List) without(drop func(e *Entry) bool) *List {
	return &List{entries: slices.DeleteFunc(slices.Clone(l.entries), func(e Entry) bool { return drop(&e) })}
}
