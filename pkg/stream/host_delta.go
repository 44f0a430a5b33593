package stream

import (
	"maps"
	"slices"

	"trefoilferry.example/ferry/pkg/infra"
)

// maxDeltas is the number of earlier lists from which a reader can continue. A reader in the tree is at most a few
// seconds behind, and a root reads the list once a second.
const maxDeltas = 16

// hostDelta leads from one host list to another.
type hostDelta struct {
	// base is the hash of the earlier list.
	base uint64
	// rows are new or changed, in name order.
	rows []infra.Host
	// removed are the names of rows that are gone, in order.
	removed []string
}

func newHostDelta(base uint64, from, to []infra.Host) hostDelta {
	gone := indexHosts(from)
	d := hostDelta{base: base}
	for _, h := range to {
		if old, ok := gone[h.Name]; !ok || old != h {
			d.rows = append(d.rows, h)
		}
		delete(gone, h.Name)
	}
	d.removed = slices.Sorted(maps.Keys(gone))
	return d
}

// apply returns the later list.
func (d hostDelta) apply(from []infra.Host) []infra.Host {
	rows := indexHosts(from)
	for _, name := range d.removed {
		delete(rows, name)
	}
	for _, h := range d.rows {
		rows[h.Name] = h
	}
	return byName(slices.Collect(maps.Values(rows)))
}

// mergeDeltas joins successive deltas.
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
	return hostDelta{base: deltas[0].base, rows: byName(slices.Collect(maps.Values(rows))), removed: slices.Sorted(maps.Keys(removed))}
}

func indexHosts(hosts []infra.Host) map[string]infra.Host {
	out := make(map[string]infra.Host, len(hosts))
	for _, h := range hosts {
		out[h.Name] = h
	}
	return out
}
