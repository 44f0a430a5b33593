package engine

import (
	"cmp"
	"slices"

	"trefoilferry.example/ferry/pkg/engine"
)

// copyKey identifies one loaded version of a model.
type copyKey struct {
	model   string
	version string
}

// loadedModel is one version of a model in memory.
type loadedModel struct {
	bytes uint64
	// orderID is the id of the order that loaded the model.
	orderID string
	// sequence increases with every load; the highest one is the newest copy.
	sequence uint64
	// adapters maps the names of loaded adapters to their bytes.
	adapters map[string]uint64
}

// memory accounts for the accelerator memory of loaded models, their adapters and loads in progress. Callers must hold
// Server.mu.
type memory struct {
	// size is in bytes; 0 means no limit. used includes memory reserved by loads in progress.
	size     uint64
	used     uint64
	sequence uint64
	copies   map[copyKey]*loadedModel
	// overdraws counts refused reservations; peak is the largest use that a reservation would have led to.
	overdraws int
	peak      uint64
}

func newMemory(size uint64) *memory {
	return &memory{size: size, copies: map[copyKey]*loadedModel{}}
}

// reserve adds bytes to the used memory and returns true. A reservation beyond the size is counted in overdraws and
// refused.
func (m *memory) reserve(bytes uint64) bool {
	m.peak = max(m.peak, m.used+bytes)
	if m.size > 0 && m.used+bytes > m.size {
		m.overdraws++
		return false
	}
	m.used += bytes
	return true
}

func (m *memory) free(bytes uint64) {
	m.used -= bytes
}

// add records a loaded model whose bytes are reserved already.
func (m *memory) add(key copyKey, bytes uint64, orderID string) {
	m.sequence++
	m.copies[key] = &loadedModel{bytes: bytes, orderID: orderID, sequence: m.sequence, adapters: map[string]uint64{}}
}

// remove frees a model and its adapters and reports whether it was loaded. An empty version means all versions.
func (m *memory) remove(model, version string) bool {
	found := false
	for key, l := range m.copies {
		if key.model != model || version != "" && key.version != version {
			continue
		}
		found = true
		m.free(l.bytes)
		for _, bytes := range l.adapters {
			m.free(bytes)
		}
		delete(m.copies, key)
	}
	return found
}

// newest returns the most recently loaded version of a model, or nil if none is loaded.
func (m *memory) newest(model string) *loadedModel {
	var newest *loadedModel
	for key, l := range m.copies {
		if key.model == model && (newest == nil || l.sequence > newest.sequence) {
			newest = l
		}
	}
	return newest
}

// isLoaded reports whether a model is loaded and, unless adapter is empty, that adapter on its newest version.
func (m *memory) isLoaded(model, adapter string) bool {
	l := m.newest(model)
	if l == nil || adapter == "" {
		return l != nil
	}
	_, ok := l.adapters[adapter]
	return ok
}

// models lists the loaded models with their adapters, ordered by name and version.
func (m *memory) models() []engine.LoadedModel {
	list := []engine.LoadedModel{}
	for key, l := range m.copies {
		row := engine.LoadedModel{Model: key.model, Version: key.version, Bytes: l.bytes, OrderID: l.orderID, Adapters: []string{}}
		for name := range l.adapters {
			row.Adapters = append(row.Adapters, name)
		}
		slices.Sort(row.Adapters)
		list = append(list, row)
	}
	slices.SortFunc(list, func(a, b engine.LoadedModel) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return list
}
