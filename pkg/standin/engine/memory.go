package engine

import (
	"cmp"
	"slices"

	"trefoilferry.example/ferry/pkg/engine"
)

// copyKey names one loaded version of a model.
type copyKey struct {
	model   string
	version string
}

// loaded is one model in memory.
type loaded struct {
	bytes   uint64
	orderID string
	// sequence orders copies by the time of their load.
	sequence uint64
	adapters map[string]uint64
}

// memory is the accelerator memory: loaded models, their adapters and loads in progress.
type memory struct {
	size     uint64
	used     uint64
	sequence uint64
	copies   map[copyKey]*loaded
	// overdraws counts commitments beyond the size; peak is the largest commitment asked for.
	overdraws int
	peak      uint64
}

func newMemory(size uint64) *memory {
	return &memory{size: size, copies: map[copyKey]*loaded{}}
}

// reserve commits bytes and reports whether they fit. A commitment beyond the size is recorded and refused.
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

// add makes reserved bytes a loaded model.
func (m *memory) add(key copyKey, bytes uint64, orderID string) {
	m.sequence++
	m.copies[key] = &loaded{bytes: bytes, orderID: orderID, sequence: m.sequence, adapters: map[string]uint64{}}
}

// remove frees a model and its adapters. An empty version stands for all versions.
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

// newest returns the copy of a model that was loaded last; nil without one.
func (m *memory) newest(model string) *loaded {
	var found *loaded
	for key, l := range m.copies {
		if key.model == model && (found == nil || l.sequence > found.sequence) {
			found = l
		}
	}
	return found
}

// holds reports whether a model and, unless empty, an adapter of it are loaded.
func (m *memory) holds(model, adapter string) bool {
	l := m.newest(model)
	if l == nil || adapter == "" {
		return l != nil
	}
	_, ok := l.adapters[adapter]
	return ok
}

// models lists what is loaded, ordered by name and version.
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
