package agent

import (
	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/pkg/placement"
)

// Watchers per runner: two share its region and notice its loss without a wide-area link, one notices the loss of a region.
const (
	watchersInside  = 2
	watchersOutside = 1
)

// watches reports whether self is one of the watchers of target, which are chosen by rendezvous hash. It costs one hash
// per runner, because an agent asks it for every other runner.
func watches(self string, target placement.Runner, all []placement.Runner) bool {
	inside := false
	for _, r := range all {
		if r.Name == self {
			inside = r.Region == target.Region
		}
	}
	limit := watchersOutside
	if inside {
		limit = watchersInside
	}
	score := watchScore(target.Name, self)
	for _, r := range all {
		if r.Name == target.Name || r.Name == self || (r.Region == target.Region) != inside {
			continue
		}
		other := watchScore(target.Name, r.Name)
		if other > score || (other == score && r.Name < self) {
			limit--
		}
		if limit == 0 {
			return false
		}
	}
	return self != target.Name
}

func watchScore(target, watcher string) uint64 {
	return xxhash.Sum64String(target + "\x00" + watcher)
}
