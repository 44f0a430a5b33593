package object

// Workspace is a group of callers with a common priority.
type Workspace struct {
	Name string
	// Priority is added to the priority of the model.
	Priority int32
}
