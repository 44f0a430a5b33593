package object

// Placement restricts the regions in which copies of a model may be loaded.
type Placement struct {
	Name  string
	Model string
	// Regions lists the regions that may hold copies.
	Regions []string
}
