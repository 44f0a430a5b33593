package object

// MemberKind is the kind of object that a cap limits.
type MemberKind string

// Kinds of objects that a cap can limit.
const (
	MemberModel     MemberKind = "model"
	MemberAdapter   MemberKind = "adapter"
	MemberWorkspace MemberKind = "workspace"
)

// Cap limits the slots of each runner that one member (a model, adapter or workspace) may use while requests of others
// are waiting, and the requests that the member may have queued there.
type Cap struct {
	Name       string
	MemberKind MemberKind
	// Member is the name of the capped model, adapter or workspace.
	Member string
	// Share is the fraction of a runner's concurrent slots, greater than 0 and at most 1.
	Share float64
	// MaxQueued is the maximum number of the member's waiting requests on each runner; 0 means no limit.
	MaxQueued int
}
