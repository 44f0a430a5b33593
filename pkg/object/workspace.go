package object

// Workspace is a published group of callers with a common priority.
type Workspace struct {
	Name string
	// Priority is added to the model's priority for requests of the workspace.
	Priority int32
}
