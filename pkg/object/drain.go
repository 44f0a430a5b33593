package object

// Drain requests that a runner accept no new work and release its model copies. Its name is the runner's name.
type Drain struct {
	Name string
}
