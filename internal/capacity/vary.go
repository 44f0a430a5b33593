package capacity

import "trefoilferry.example/ferry/pkg/failure"

// Vary returns the scenario of one point of a series: the system at factor times the target size with one quantity set
// to value. For the quantity size, value itself is the factor; load sets everything that happens at the target size together, times value. An unknown quantity fails with code BadRequest.
func Vary(role Role, position Position, quantity string, factor, value float64) (Scenario, error) {
	s := Scenario{Role: role, Position: position, Size: Target().Scaled(factor)}
	switch quantity {
	case "size":
		s.Size = Target().Scaled(value)
	case "entries":
		s.Size.Entries = int(value)
	case "runners":
		s.Size.Runners = int(value)
	case "models":
		s.Size.Models = int(value)
	case "adapters":
		s.Size.Adapters = int(value)
	case "changes":
		s.Changes = value
	case "restarts":
		s.Restarts = value
	case "children":
		s.Children = int(value)
	case "probes":
		s.Probes = value
	case "load":
		s.load(value)
	default:
		return Scenario{}, failure.New(failure.BadRequest, failure.NotRun, "unknown quantity "+quantity)
	}
	return s, nil
}

// What happens at the target size: 3,500 configuration changes a day, the copies and restarts that 160 replaced and
// 7 failed hosts a day cause in a busy hour, probes of the peak, and the children of one host in the relay tree.
const (
	targetChanges  = 0.04
	targetRestarts = 0.1
	targetProbes   = 5
	targetChildren = 9
)

func (s *Scenario) load(factor float64) {
	s.Changes = targetChanges * factor
	s.Restarts = targetRestarts * factor
	s.Probes = targetProbes * factor
	s.Children = int(targetChildren * min(1, factor))
	if s.Role == RoleEntry {
		s.Probes = 0
	}
}
