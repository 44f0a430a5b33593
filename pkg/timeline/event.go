package timeline

// Kind names the kind of an event.
type Kind string

// Event is one event of a process; empty fields do not apply.
type Event struct {
	Kind      Kind
	RequestID string
	AttemptID string
	// Object is a configuration object as kind/name.
	Object string
	// Host is the name of the other host concerned.
	Host   string
	Detail string
}
