package coordinator

import "context"

// RunnerClient is the client of the runners. Its errors are failures of package failure.
type RunnerClient interface {
	// ReadState reads the report of the runner with that address and id.
	ReadState(ctx context.Context, address, id string) (RunnerState, error)
	// SendOrder sends an order. An error with outcome Unknown means that the runner may carry out the order, possibly
	// later.
	SendOrder(ctx context.Context, address, id string, o Order) (OrderResult, error)
}
