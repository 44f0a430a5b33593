package stream

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/pkg/infra"
)

const (
	// rootsPerDomain is the number of hosts per failure domain that read the log and the host list on behalf of the
	// others.
	rootsPerDomain = 2
	// fanOut is the number of children per host. Two roots reach 182 hosts in two levels; a failure domain of the
	// target size has 159.
	fanOut = 9
)

// TreePosition is the position of a host in the relay tree of its failure domain.
type TreePosition struct {
	// IsRoot is true for hosts that read the log themselves.
	IsRoot bool
	// Parents are the hosts to read from, in order of preference; empty for a root.
	Parents []infra.Host
}

// TreePositionOf returns the position of the host self in the relay tree of its failure domain. It ranks the live
// hosts of the domain: entry hosts before backend server hosts, which have more other control traffic, and hosts of
// one role by the rendezvous hash of domain and name. The first two are roots; the others form levels below them.
// Both parents of a host have a lower rank, so processes with the same host list form no loop. With different lists a
// loop is possible; the hosts leave it when their data becomes stale.
func TreePositionOf(self, domain string, hosts []infra.Host) TreePosition {
	live := ranked(self, domain, hosts)
	rank := slices.IndexFunc(live, func(h rankedHost) bool { return h.Name == self })
	if rank < rootsPerDomain {
		return TreePosition{IsRoot: true}
	}
	first := (rank - rootsPerDomain) / fanOut
	return TreePosition{Parents: []infra.Host{live[first].Host, live[secondParent(rank, first)].Host}}
}

// secondParent returns the rank of the second parent. The children of one parent are spread over the other hosts of
// its level, so that each of them gains about one child when that parent fails.
func secondParent(rank, first int) int {
	start, size := 0, rootsPerDomain
	for first >= start+size {
		start, size = start+size, size*fanOut
	}
	step := (1 + (rank-rootsPerDomain)%fanOut) % size
	return start + (first-start+max(1, step))%size
}

type rankedHost struct {
	infra.Host
	score uint64
	// runner is true for backend server hosts.
	runner bool
}

// ranked returns the live hosts of the domain in rank order. The local host is included even if the list lacks it.
func ranked(self, domain string, hosts []infra.Host) []rankedHost {
	own := infra.Host{Name: self, Role: infra.RoleRunner}
	live := make([]rankedHost, 0, len(hosts)/rootsPerDomain)
	for _, h := range hosts {
		if h.Name == self {
			own = h
			continue
		}
		if h.State == infra.HostLive && h.FailureDomain == domain {
			live = append(live, newRankedHost(domain, h))
		}
	}
	live = append(live, newRankedHost(domain, own))
	slices.SortFunc(live, rankedHost.compare)
	return live
}

func newRankedHost(domain string, h infra.Host) rankedHost {
	return rankedHost{Host: h, score: rankScore(domain, h.Name), runner: h.Role == infra.RoleRunner}
}

func (h rankedHost) compare(other rankedHost) int {
	if h.runner != other.runner {
		if h.runner {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(other.score, h.score), cmp.Compare(h.Name, other.Name))
}

func rankScore(domain, host string) uint64 { return xxhash.Sum64String(domain + "\x00" + host) }
