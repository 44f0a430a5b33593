package stream

import (
	"maps"
	"slices"

	"trefoilferry.example/ferry/pkg/infra"
)

// maxDeltas is the number of earlier lists for which a delta can be returned. Roots read the list once a second and a
// reader in the relay tree is at most a few seconds behind.
const maxDeltas = 16

// hostDelta is the difference between two host lists.
type hostDelta struct {
	// base is the hash of the earlier list.
	base uint64
	// rows are the new or changed rows, sorted by name.
	rows []infra.Host
	// removed are the names of the removed rows, sorted.
	removed []string
}

func newHostDelta(base uint64, from, to []infra.Host) hostDelta {
	missing := hostsByName(from)
	d := hostDelta{base: base}
	for _, h := range to {
		if old, ok := missing[h.Name]; !ok || old != h {
			d.rows = append(d.rows, h)
		}
		delete(missing, h.Name)
	}
	d.removed = slices.Sorted(maps.Keys(missing))
	return d
}

// apply returns the later list, given the earlier one.
func (d hostDelta) apply(from []infra.Host) []infra.Host {
	rows := hostsByName(from)
	for _, name := range d.removed {
		delete(rows, name)
	}
	for _, h := range d.rows {
		rows[h.Name] = h
	}
	return sortedByName(slices.Collect(maps.Values(rows)))
}

// mergeDeltas merges successive deltas into one.
func mergeDeltas(deltas []hostDelta) hostDelta {
	rows, removed := map[string]infra.Host{}, map[string]bool{}
	for _, d := range deltas {
		for _, name := range d.removed {
			delete(rows, name)
			removed[name] = true
		}
		for _, h := range d.rows {
			rows[h.Name] = h
			delete(removed, h.Name)
		}
	}
	return hostDelta{base: deltas[0].base, rows: sortedByName(slices.Collect(maps.Values(rows))), removed: slices.Sorted(maps.Keys(removed))}
}

func hostsByName(hosts []infra.Host) map[string]infra.Host {
	out := make(map[string]infra.Host, len(hosts))
	for _, h := range hosts {
		out[h.Name] = h
	}
	return out
}
