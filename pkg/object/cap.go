package object

// MemberKind is the kind of member that a cap limits.
type MemberKind string

// Kinds of members.
const (
	MemberModel     MemberKind = "model"
	MemberAdapter   MemberKind = "adapter"
	MemberWorkspace MemberKind = "workspace"
)

// Cap limits what one member may take of each runner while others wait.
type Cap struct {
	Name       string
	MemberKind MemberKind
	// Member is the name of the capped model, adapter or workspace.
	Member string
	// Share is the part of a runner's concurrent slots, above 0 and up to 1.
	Share float64
	// MaxQueued bounds the member's waiting requests on each runner; 0 means no bound.
	MaxQueued int
}
