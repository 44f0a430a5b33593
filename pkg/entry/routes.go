package entry

import (
	"cmp"
	"slices"

	"trefoilferry.example/ferry/pkg/placement"
	"trefoilferry.example/ferry/pkg/routing"
)

// placementRoutes implements RouteTable over a placement snapshot.
type placementRoutes struct {
	snapshot *placement.Snapshot
}

// NewRouteTable returns the route table of a placement snapshot.
func NewRouteTable(s *placement.Snapshot) RouteTable { return placementRoutes{snapshot: s} }

// Holders implements RouteTable.
func (p placementRoutes) Holders(model string) []routing.Candidate {
	var out []routing.Candidate
	for _, c := range p.snapshot.Ready(model) {
		runner, ok := p.snapshot.Runner(c.Runner)
		if !ok {
			continue
		}
		candidate := newCandidate(runner)
		candidate.Version = c.Version
		out = append(out, candidate)
	}
	return sortByName(out)
}

// NonHolders implements RouteTable.
func (p placementRoutes) NonHolders(model string) []routing.Candidate {
	holds := map[string]bool{}
	for _, c := range p.snapshot.Copies(model) {
		holds[c.Runner] = true
	}
	var out []routing.Candidate
	for _, r := range p.snapshot.Runners() {
		if r.Service == "" && !holds[r.Name] {
			out = append(out, newCandidate(r))
		}
	}
	return out
}

// ServiceRunners implements RouteTable.
func (p placementRoutes) ServiceRunners(service string) []routing.Candidate {
	var out []routing.Candidate
	for _, r := range p.snapshot.ServiceRunners(service) {
		out = append(out, newCandidate(r))
	}
	return out
}

// Incarnation implements RouteTable.
func (p placementRoutes) Incarnation(runner string) (string, bool) {
	r, ok := p.snapshot.Runner(runner)
	return r.Incarnation, ok
}

func newCandidate(r placement.Runner) routing.Candidate {
	return routing.Candidate{
		Runner:        r.Name,
		Address:       r.Address,
		Incarnation:   r.Incarnation,
		Region:        r.Region,
		FailureDomain: r.FailureDomain,
	}
}

func sortByName(candidates []routing.Candidate) []routing.Candidate {
	slices.SortFunc(candidates, func(a, b routing.Candidate) int {
		return cmp.Or(cmp.Compare(a.Runner, b.Runner), cmp.Compare(a.Version, b.Version))
	})
	return candidates
}
