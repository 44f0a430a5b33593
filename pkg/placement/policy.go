package placement

import "trefoilferry.example/ferry/pkg/failure"

// Values of the agent's setting [placement] policy. All policies keep the floor copies; they differ in the surplus
// copies.
const (
	// PolicyPlanned adds a surplus copy when its value exceeds its cost.
	PolicyPlanned = "planned"
	// PolicyStatic adds no surplus copies. It is a baseline for benchmarks.
	PolicyStatic = "static"
	// PolicyOnDemand adds a copy for every hint. It is a baseline for benchmarks.
	PolicyOnDemand = "on_demand"
)

// Planner decides what the agent of one runner should do; it is a pure function.
type Planner func(in PlanInput) PlanOutput

// surplusPolicy adds the surplus copies of the agent's own runner to a plan.
type surplusPolicy func(f *fleet, out *PlanOutput)

// NewPlanner returns the planner for a policy. It fails with code SettingsInvalid for an unknown policy.
func NewPlanner(policy string) (Planner, error) {
	switch policy {
	case PolicyPlanned:
		return Plan, nil
	case PolicyStatic:
		return plannerWith(func(*fleet, *PlanOutput) {}), nil
	case PolicyOnDemand:
		return plannerWith((*fleet).planOnDemand), nil
	default:
		return nil, failure.New(failure.SettingsInvalid, failure.NotRun, "unknown placement policy "+policy)
	}
}

func plannerWith(surplus surplusPolicy) Planner {
	return func(in PlanInput) PlanOutput { return planWith(in, surplus) }
}
