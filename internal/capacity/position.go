package capacity

import (
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/stream"
)

// Position is the place of a host in the relay tree of its failure domain.
type Position string

// Positions that can be measured. A leaf with children stands for an inner host of the tree.
const (
	PositionRoot Position = "root"
	PositionLeaf Position = "leaf"
)

// choose returns the number of the first host of the role that has the position. An agent is a root only in
// a failure domain without entry hosts, so that for it all entry hosts are moved out of the domain of agent 0.
func (p *population) choose(role Role, position Position) (int, error) {
	count, name := p.size.Entries, entryName
	if role == RoleAgent {
		count, name = p.size.Runners, runnerName
	}
	p.withoutEntries = role == RoleAgent && position == PositionRoot
	hosts := p.hosts()
	for i := range count {
		if stream.TreePositionOf(name(i), p.size.domain(i), hosts).IsRoot == (position == PositionRoot) {
			return i, nil
		}
	}
	return 0, failure.New(failure.BadRequest, failure.NotRun, "no host of the role has the position "+string(position))
}
