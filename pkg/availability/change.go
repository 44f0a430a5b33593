package availability

import "time"

// ChangeKind is the kind of a change.
type ChangeKind int

// Kinds of changes.
const (
	LeavingBegan ChangeKind = iota
	LeavingEnded
)

// Change is a change of what is known of an incarnation, for log lines.
type Change struct {
	Kind   ChangeKind
	Server Incarnation
	// Source names the response that caused the change; empty for an end.
	Source string
	// Age bounds the age of that response when it was recorded; for an end, it is how long the state lasted.
	Age time.Duration
}
