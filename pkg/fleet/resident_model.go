package fleet

import "slices"

// ResidentModel is a model that is resident on a backend server.
type ResidentModel struct {
	Name     string
	Version  int64
	Adapters []string
}

func (m ResidentModel) equal(o ResidentModel) bool {
	return m.Name == o.Name && m.Version == o.Version && slices.Equal(m.Adapters, o.Adapters)
}
