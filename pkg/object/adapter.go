package object

// Adapter is a published adapter of a model; callers address it as a model name.
type Adapter struct {
	Name string
	// Model is the name of the base model.
	Model string
	// Bytes is the accelerator memory of the adapter in bytes.
	Bytes uint64
}
