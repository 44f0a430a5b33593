package agent

import (
	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/pkg/placement"
)

// Watchers per runner: two in its region, which detect its loss without a wide-area link, and one outside, which detects
// the loss of the whole region.
const (
	watchersInRegion      = 2
	watchersOutsideRegion = 1
)

// isWatcher reports whether self is one of the watchers of target, which are selected by rendezvous hashing. It computes
// only one hash per runner, because an agent calls it for every other runner.
func isWatcher(self string, target placement.Runner, all []placement.Runner) bool {
	sameRegion := false
	for _, r := range all {
		if r.Name == self {
			sameRegion = r.Region == target.Region
		}
	}
	free := watchersOutsideRegion
	if sameRegion {
		free = watchersInRegion
	}
	score := watchScore(target.Name, self)
	for _, r := range all {
		if r.Name == target.Name || r.Name == self || (r.Region == target.Region) != sameRegion {
			continue
		}
		other := watchScore(target.Name, r.Name)
		if other > score || (other == score && r.Name < self) {
			free--
		}
		if free == 0 {
			return false
		}
	}
	return self != target.Name
}

func watchScore(target, watcher string) uint64 {
	return xxhash.Sum64String(target + "\x00" + watcher)
}
