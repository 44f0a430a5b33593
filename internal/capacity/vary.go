package capacity

import "trefoilferry.example/ferry/pkg/failure"

// Vary returns the scenario of one point of a series: the system at factor times the target size with one quantity set
// to value. For the quantity size, value itself is the factor. An unknown quantity fails with code BadRequest.
func Vary(role Role, quantity string, factor, value float64) (Scenario, error) {
	s := Scenario{Role: role, Size: Target().Scaled(factor)}
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
	default:
		return Scenario{}, failure.New(failure.BadRequest, failure.NotRun, "unknown quantity "+quantity)
	}
	return s, nil
}
