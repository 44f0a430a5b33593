package coordinator

// Operation of an order.
type Operation string

const (
	// Load makes a model or adapter resident.
	Load Operation = "load"
	// Unload drops a model with its adapters, or one adapter.
	Unload Operation = "unload"
)

// Order changes what a runner holds.
type Order struct {
	Operation Operation
	Model     string
	// Adapter is empty for orders about the model itself.
	Adapter string
	// Expected is the number of orders that the runner has accepted before this one.
	Expected int64
	Holder   string
	// Token is the fencing number of the holder.
	Token int64
}
