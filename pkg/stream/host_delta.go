package stream

import (
	"maps"
	"slices"

	"trefoilferry.example/ferry/pkg/platform"
)

// maxDeltas is the number of earlier lists from which a reader can continue. A reader in the tree is at most a few
// seconds behind, and a root reads the list once a second.
const maxDeltas = 16

// hostDelta leads from one host list to another.
type hostDelta struct {
	// base is the hash of the earlier list.
	base uint64
	// rows are new or changed, in name order.
	rows []platform.Host
	// removed are the names of rows that are gone, in order.
	removed []string
}

func newHostDelta(base uint64, from, to []platform.Host) hostDelta {
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
func (d hostDelta) apply(from []platform.Host) []platform.Host {
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
	rows, removed := map[string]platform.Host{}, map[string]bool{}
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

func indexHosts(hosts []platform.Host) map[string]platform.Host {
	out := make(map[string]platform.Host, len(hosts))
	for _, h := range hosts {
		out[h.Name] = h
	}
	return out
}
