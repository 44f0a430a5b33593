package placement

import "trefoilferry.example/ferry/pkg/failure"

// Names of the policies in the agent's setting [placement] policy. All keep the floor copies; they differ in the surplus.
const (
	// PolicyPlanned adds a surplus copy when its value exceeds its cost.
	PolicyPlanned = "planned"
	// PolicyStatic adds no surplus copies. It is a baseline for measurements.
	PolicyStatic = "static"
	// PolicyOnDemand adds a copy at every hint. It is a baseline for measurements.
	PolicyOnDemand = "on_demand"
)

// Planner decides what the agent of one runner shall do; it is a pure function.
type Planner func(in PlanInput) PlanOutput

// surplusPolicy adds the surplus copies of the own runner to a plan.
type surplusPolicy func(f *fleet, out *PlanOutput)

// NewPlanner returns the planner of that policy. Other names fail with code SettingsInvalid.
func NewPlanner(policy string) (Planner, error) {
	switch policy {
	case PolicyPlanned:
		return Plan, nil
	case PolicyStatic:
		return plannerWith(func(*fleet, *PlanOutput) {}), nil
	case PolicyOnDemand:
		return plannerWith((*fleet).loadOnDemand), nil
	default:
		return nil, failure.New(failure.SettingsInvalid, failure.NotRun, "unknown placement policy "+policy)
	}
}

func plannerWith(surplus surplusPolicy) Planner {
	return func(in PlanInput) PlanOutput { return planWith(in, surplus) }
}
