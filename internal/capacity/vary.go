package capacity

import "trefoilferry.example/ferry/pkg/failure"

// ScenarioAt returns the scenario of one point of a series: a system of factor times the target size, with one quantity
// set to value. For the quantity size, value itself is the factor. For the quantity load, the load of the target size
// (changes, restarts, probes and children) is applied, multiplied by value. An unknown quantity fails with code
// BadRequest.
func ScenarioAt(role Role, position Position, quantity string, factor, value float64) (Scenario, error) {
	s := Scenario{Role: role, Position: position, Size: TargetSize().Scaled(factor)}
	switch quantity {
	case "size":
		s.Size = TargetSize().Scaled(value)
	case "entries":
		s.Size.Entries = int(value)
	case "runners":
		s.Size.Runners = int(value)
	case "models":
		s.Size.Models = int(value)
	case "adapters":
		s.Size.Adapters = int(value)
	case "changes":
		s.ChangesPerSecond = value
	case "restarts":
		s.RestartsPerSecond = value
	case "children":
		s.Children = int(value)
	case "probes":
		s.ProbesPerSecond = value
	case "load":
		s.setLoad(value)
	default:
		return Scenario{}, failure.New(failure.BadRequest, failure.NotRun, "unknown quantity "+quantity)
	}
	return s, nil
}

// Load of one daemon at the target size: 3,500 configuration changes a day; the copies and agent restarts in a busy hour
// when 160 hosts a day are replaced and 7 fail; the probes at peak load; the children of one host in the relay tree.
const (
	targetChangesPerSecond  = 0.04
	targetRestartsPerSecond = 0.1
	targetProbesPerSecond   = 5
	targetChildren          = 9
)

// setLoad sets the load to factor times that of the target size. The number of children is not raised above that of the
// target size, and only agents receive probes.
func (s *Scenario) setLoad(factor float64) {
	s.ChangesPerSecond = targetChangesPerSecond * factor
	s.RestartsPerSecond = targetRestartsPerSecond * factor
	s.ProbesPerSecond = targetProbesPerSecond * factor
	s.Children = int(targetChildren * min(1, factor))
	if s.Role == RoleEntry {
		s.ProbesPerSecond = 0
	}
}
