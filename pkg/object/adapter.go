package object

// Adapter is a published adapter of a model. Callers name it in place of a model.
type Adapter struct {
	Name string
	// Model is the name of the base model.
	Model string
	// MemoryBytes is the accelerator memory that the adapter takes.
	MemoryBytes uint64
}
