package fleet

import "slices"

// HeldModel is a model that is resident on a backend server.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []string
}

func (m HeldModel) equal(o HeldModel) bool {
	return m.Name == o.Name && m.Version == o.Version && slices.Equal(m.Adapters, o.Adapters)
}
