package object

import (
	"maps"
	"slices"
)

// Set is an immutable, valid set of configuration objects.
type Set struct {
	// Offset is the offset of the last log record that the set reflects.
	Offset     uint64
	models     map[string]*Model
	adapters   map[string]*Adapter
	services   map[string]*Service
	workspaces map[string]*Workspace
	caps       map[string]*Cap
	placements map[string]*Placement
	drains     map[string]*Drain
	// Caps and placements by their target; the rules allow at most one of each per target.
	capByMember      map[member]*Cap
	placementByModel map[string]*Placement
}

// member identifies the target of a cap.
type member struct {
	kind MemberKind
	name string
}

// Model returns the model with the given name.
func (s *Set) Model(name string) (*Model, bool) { return lookup(s.models, name) }

// Adapter returns the adapter with the given name.
func (s *Set) Adapter(name string) (*Adapter, bool) { return lookup(s.adapters, name) }

// Service returns the service with the given name.
func (s *Set) Service(name string) (*Service, bool) { return lookup(s.services, name) }

// Workspace returns the workspace with the given name.
func (s *Set) Workspace(name string) (*Workspace, bool) { return lookup(s.workspaces, name) }

// Drained reports whether a drain of the runner is published.
func (s *Set) Drained(runner string) bool {
	_, ok := s.drains[runner]
	return ok
}

// Models returns all models, sorted by name.
func (s *Set) Models() []*Model { return sorted(s.models) }

// Adapters returns all adapters, sorted by name.
func (s *Set) Adapters() []*Adapter { return sorted(s.adapters) }

// Services returns all services, sorted by name.
func (s *Set) Services() []*Service { return sorted(s.services) }

// Workspaces returns all workspaces, sorted by name.
func (s *Set) Workspaces() []*Workspace { return sorted(s.workspaces) }

// Caps returns all caps, sorted by name.
func (s *Set) Caps() []*Cap { return sorted(s.caps) }

// Placements returns all placements, sorted by name.
func (s *Set) Placements() []*Placement { return sorted(s.placements) }

func lookup[T any](m map[string]*T, name string) (*T, bool) {
	v, ok := m[name]
	return v, ok
}

func sorted[T any](m map[string]*T) []*T {
	out := make([]*T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name])
	}
	return out
}

// Drains returns all drains, sorted by name.
func (s *Set) Drains() []*Drain { return sorted(s.drains) }

// PlacementOf returns the placement of a model, or false if it has none and copies may be loaded in every region.
func (s *Set) PlacementOf(model string) (*Placement, bool) {
	return lookup(s.placementByModel, model)
}

// CapOf returns the cap of a model, adapter or workspace, or false if it has none.
func (s *Set) CapOf(kind MemberKind, name string) (*Cap, bool) {
	limit, ok := s.capByMember[member{kind, name}]
	return limit, ok
}
