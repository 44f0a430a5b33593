package rules1

// Type is the type of a value.
type Type int

// Types of values.
const (
	Text Type = iota
	Size
	Duration
	Integer
	Number
	List
	// Reference is the name of an object of the kind in Key.Kind.
	Reference
	// Member is a reference to a model, adapter or workspace as kind/name.
	Member
)

// Key describes one key of an object kind.
type Key struct {
	Name string
	Type Type
	// Default is the value used if the key is absent; a key with an empty default is required.
	Default string
	// Min and Max are inclusive bounds in the syntax of a value; empty means unbounded.
	Min string
	Max string
	// Kind is the kind of the object that a Reference names.
	Kind string
	// Doc explains the key to operators.
	Doc string
}

// Kind describes one kind of object.
type Kind struct {
	Name string
	Keys []Key
	// Doc explains the kind to operators.
	Doc string
}

// Names of the kinds.
const (
	KindModel     = "model"
	KindAdapter   = "adapter"
	KindService   = "service"
	KindWorkspace = "workspace"
	KindCap       = "cap"
	KindPlacement = "placement"
	KindDrain     = "drain"
)

// kinds is built once, because validation looks up kinds several times per object.
var kinds = buildKinds()

// Kinds returns all kinds in the order of docs/configuration.md. The caller must not modify the slice.
func Kinds() []Kind { return kinds }

func buildKinds() []Kind {
	return []Kind{
		{Name: KindModel, Keys: modelKeys(), Doc: "A language model. Callers address it by its name."},
		{Name: KindAdapter, Keys: adapterKeys(), Doc: "An adapter of a model. Callers address it as a model name; no model may have the same name."},
		{Name: KindService, Keys: serviceKeys(), Doc: "A plain service, reached at /services/NAME/."},
		{Name: KindWorkspace, Keys: workspaceKeys(), Doc: "A group of callers, named by the header X-Workspace."},
		{Name: KindCap, Keys: capKeys(), Doc: "A limit on what one member may take of each runner while others wait. A member has at most one cap."},
		{Name: KindPlacement, Keys: placementKeys(), Doc: "The regions that may hold copies of a model. A model has at most one placement; without one every region may."},
		{Name: KindDrain, Doc: "Asks the runner of that name to take no new work and to give its copies up. It has no keys."},
	}
}

// FindKind returns the kind with the given name.
func FindKind(name string) (Kind, bool) {
	for i := range kinds {
		if kinds[i].Name == name {
			return kinds[i], true
		}
	}
	return Kind{}, false
}

// FindKey returns the key with the given name.
func (k Kind) FindKey(name string) (Key, bool) {
	for i := range k.Keys {
		if k.Keys[i].Name == name {
			return k.Keys[i], true
		}
	}
	return Key{}, false
}
