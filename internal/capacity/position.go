package capacity

import (
	"fmt"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/stream"
)

// Position is the position of a host in the relay tree of its failure domain.
type Position string

// Positions that can be measured. A leaf with children (Scenario.Children) represents an inner node of the tree.
const (
	PositionRoot Position = "root"
	PositionLeaf Position = "leaf"
)

// selectHost returns the index of the first host of the role at the position. An agent is a root only in a failure
// domain without entry hosts, so for a root agent it sets clearDomain0, which moves the entry hosts out of the domain
// of agent 0. It fails with code BadRequest if no host is at the position.
func (p *population) selectHost(role Role, position Position) (int, error) {
	count, name := p.size.Entries, entryName
	if role == RoleAgent {
		count, name = p.size.Runners, runnerName
	}
	p.clearDomain0 = role == RoleAgent && position == PositionRoot
	hosts := p.hosts()
	for i := range count {
		if stream.TreePositionOf(name(i), p.size.domain(i), hosts).IsRoot == (position == PositionRoot) {
			return i, nil
		}
	}
	return 0, failure.New(failure.BadRequest, failure.NotRun, fmt.Sprintf("none of %d hosts with role %s has position %s in the relay tree", count, role, position))
}
