package stream

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/pkg/platform"
)

const (
	// roots is the number of hosts per failure domain that read the log and the host list for the others.
	roots = 2
	// fanOut is the number of children of one host; 2 roots reach 182 hosts in two steps, and a failure domain of the
	// target size has 159.
	fanOut = 9
)

// Place is the position of a host in the relay tree of its failure domain.
type Place struct {
	// Root is true for the hosts that read the log themselves.
	Root bool
	// Parents are the hosts to read from, preferred first; empty for a root.
	Parents []platform.Host
}

// PlaceOf ranks the live hosts of the failure domain by the rendezvous hash of domain and name. The first two are roots;
// the others form levels below them. Both parents have a lower rank, so that processes with the same host list form no
// loop. The choice is a hint: with different lists a loop is possible, and the age of the data ends it.
func PlaceOf(self, domain string, hosts []platform.Host) Place {
	live := ranked(self, domain, hosts)
	rank := slices.IndexFunc(live, func(h rankedHost) bool { return h.Name == self })
	if rank < roots {
		return Place{Root: true}
	}
	first := (rank - roots) / fanOut
	return Place{Parents: []platform.Host{live[first].Host, live[alternative(rank, first)].Host}}
}

// alternative returns the second parent. The children of one parent are spread over the others of its level, so that a
// lost parent adds about one child to each.
func alternative(rank, first int) int {
	start, size := 0, roots
	for first >= start+size {
		start, size = start+size, size*fanOut
	}
	step := (1 + (rank-roots)%fanOut) % size
	return start + (first-start+max(1, step))%size
}

type rankedHost struct {
	platform.Host
	score uint64
}

// ranked returns the live hosts of the domain, best first. The own host takes part even if the list lacks it.
func ranked(self, domain string, hosts []platform.Host) []rankedHost {
	live := []rankedHost{{Host: platform.Host{Name: self}, score: placeScore(domain, self)}}
	for _, h := range hosts {
		if h.State == platform.HostLive && h.FailureDomain == domain && h.Name != self {
			live = append(live, rankedHost{Host: h, score: placeScore(domain, h.Name)})
		}
	}
	slices.SortFunc(live, func(a, b rankedHost) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	return live
}

func placeScore(domain, host string) uint64 { return xxhash.Sum64String(domain + "\x00" + host) }
