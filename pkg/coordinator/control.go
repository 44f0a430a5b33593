package coordinator

import "context"

// Control speaks to the runners. Errors are failures of package failure.
type Control interface {
	// State reads the report of a runner.
	State(ctx context.Context, address, id string) (RunnerState, error)
	// Order sends an order. An error with outcome Unknown means that the order may be carried out, also later.
	Order(ctx context.Context, address, id string, o Order) (Verdict, error)
}
