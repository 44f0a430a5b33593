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
	// Member is the reference to a model, adapter or workspace as kind/name.
	Member
)

// Key describes one key of a kind.
type Key struct {
	Name string
	Type Type
	// Default is used if the key is absent; a key without one is required.
	Default string
	// Min and Max are inclusive and written like a value; empty means no bound.
	Min string
	Max string
	// Kind is the kind that a Reference names.
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

// kinds is built once; a verdict looks kinds up several times for each object of the set.
var kinds = buildKinds()

// Kinds returns the kinds in the order of the reference page. They must not be changed.
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

// FindKind returns the kind of that name.
func FindKind(name string) (Kind, bool) {
	for i := range kinds {
		if kinds[i].Name == name {
			return kinds[i], true
		}
	}
	return Kind{}, false
}

// FindKey returns the key of that name.
func (k Kind) FindKey(name string) (Key, bool) {
	for i := range k.Keys {
		if k.Keys[i].Name == name {
			return k.Keys[i], true
		}
	}
	return Key{}, false
}
