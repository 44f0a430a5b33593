package object

// Drain asks that a runner takes no new work and gives its copies up. Its name is the runner's name.
type Drain struct {
	Name string
}
