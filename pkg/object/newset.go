package object

import "trefoilferry.example/ferry/api/ferrypb"

// NewSet validates objects by the current rules and returns them as a set with the state after the log record at offset.
// If they are invalid, it returns all problems instead.
func NewSet(offset uint64, objects []*ferrypb.Object) (*Set, []Problem) {
	if problems := validateV1(objects); len(problems) > 0 {
		return nil, problems
	}
	return Decode(offset, objects), nil
}

// Decode returns objects that some version of the rules has accepted as a set, without validating them again.
// Objects of unknown kinds are left out.
func Decode(offset uint64, objects []*ferrypb.Object) *Set {
	s := emptySet(offset)
	for _, o := range objects {
		s.put(o)
	}
	return s
}

func emptySet(offset uint64) *Set {
	return &Set{
		Offset:     offset,
		models:     map[string]*Model{},
		adapters:   map[string]*Adapter{},
		services:   map[string]*Service{},
		workspaces: map[string]*Workspace{},
		caps:       map[string]*Cap{},
		placements: map[string]*Placement{},
		drains:     map[string]*Drain{},

		capByMember:      map[member]*Cap{},
		placementByModel: map[string]*Placement{},
	}
}

func (s *Set) put(o *ferrypb.Object) {
	switch o.Kind {
	case KindModel:
		s.models[o.Name] = decodeModel(o)
	case KindAdapter:
		s.adapters[o.Name] = decodeAdapter(o)
	case KindService:
		s.services[o.Name] = decodeService(o)
	case KindWorkspace:
		s.workspaces[o.Name] = decodeWorkspace(o)
	case KindCap:
		c := decodeCap(o)
		s.caps[o.Name] = c
		s.capByMember[member{c.MemberKind, c.Member}] = c
	case KindPlacement:
		p := decodePlacement(o)
		s.placements[o.Name] = p
		s.placementByModel[p.Model] = p
	case KindDrain:
		s.drains[o.Name] = &Drain{Name: o.Name}
	}
}

// WithOffset returns a copy of the set with another offset. The objects are shared.
func (s *Set) WithOffset(offset uint64) *Set {
	copied := *s
	copied.Offset = offset
	return &copied
}
