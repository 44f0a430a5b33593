package rules1

// Messages that other packages complete with a suggestion.
const (
	UnknownKind = "unknown kind"
	UnknownKey  = "unknown key"
)

// Problem is one reason to refuse a set.
type Problem struct {
	// Kind and Name name the object.
	Kind string
	Name string
	// Key is empty if the whole object is concerned.
	Key     string
	Message string
}
