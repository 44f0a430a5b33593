package object

import "trefoilferry.example/ferry/api/ferrypb"

// NewSet returns the typed set of objects that is up to date with the log record at offset.
// It returns every problem under the current rules instead if there is any.
func NewSet(offset uint64, objects []*ferrypb.Object) (*Set, []Problem) {
	if problems := validate1(objects); len(problems) > 0 {
		return nil, problems
	}
	return Decode(offset, objects), nil
}

// Decode returns the typed set of objects that some version of the rules has accepted.
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

// At returns the same objects as up to date with the log record at offset.
func (s *Set) At(offset uint64) *Set {
	copied := *s
	copied.Offset = offset
	return &copied
}
