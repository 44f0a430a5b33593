package timeline

// Kind is the kind of an event.
type Kind string

// Event is one event of a process. Fields that do not apply to its kind are empty.
type Event struct {
	Kind      Kind
	RequestID string
	AttemptID string
	// Object is the kind/name of a configuration object.
	Object string
	// Host is the name of another host that the event concerns.
	Host   string
	Detail string
}
