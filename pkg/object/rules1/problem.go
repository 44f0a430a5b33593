package rules1

// Messages to which package object appends a spelling suggestion.
const (
	UnknownKind = "unknown kind"
	UnknownKey  = "unknown key"
)

// Problem is one reason why a set is refused.
type Problem struct {
	// Kind and Name identify the object.
	Kind string
	Name string
	// Key is empty if the problem concerns the object as a whole.
	Key     string
	Message string
}
