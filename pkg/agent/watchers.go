package agent

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/pkg/placement"
)

// Watchers per runner: two share its region and notice its loss without a wide-area link, one notices the loss of a region.
const (
	watchersInside  = 2
	watchersOutside = 1
)

// watchers returns the names of the runners that watch target, chosen by rendezvous hash.
func watchers(target placement.Runner, all []placement.Runner) []string {
	inside := rankWatchers(target, all, func(r placement.Runner) bool { return r.Region == target.Region })
	outside := rankWatchers(target, all, func(r placement.Runner) bool { return r.Region != target.Region })
	out := slices.Clone(inside[:min(watchersInside, len(inside))])
	return append(out, outside[:min(watchersOutside, len(outside))]...)
}

func rankWatchers(target placement.Runner, all []placement.Runner, match func(placement.Runner) bool) []string {
	var names []string
	for _, r := range all {
		if r.Name != target.Name && match(r) {
			names = append(names, r.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(watchScore(target.Name, b), watchScore(target.Name, a)), cmp.Compare(a, b))
	})
	return names
}

func watchScore(target, watcher string) uint64 {
	return xxhash.Sum64String(target + "\x00" + watcher)
}
