package coordinator

// Operation is what an order does.
type Operation string

const (
	// Load makes a model or adapter resident.
	Load Operation = "load"
	// Unload removes a model with its adapters, or one adapter.
	Unload Operation = "unload"
)

// Order instructs a runner to load or unload a model or an adapter.
type Order struct {
	Operation Operation
	Model     string
	// Adapter is empty for orders that concern the model itself.
	Adapter string
	// ExpectedOrders is the number of orders that the runner must have accepted before this one.
	ExpectedOrders int64
	// Holder is the host name of the sender.
	Holder string
	// Token is the fencing token of the sender.
	Token int64
}
