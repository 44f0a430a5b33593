package fleet

// HeldModel is a resident model of a backend server.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []string
}
