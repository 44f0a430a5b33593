package retry

import "time"

// Action is what follows a failed attempt.
type Action string

const (
	// GiveUp reports the failure to the caller.
	GiveUp Action = "give_up"
	// Elsewhere sends the request again, preferably to another runner.
	Elsewhere Action = "elsewhere"
	// Wait waits until a runner is available; it spends neither an attempt nor budget.
	Wait Action = "wait"
	// Resume continues a broken stream from the text already delivered.
	Resume Action = "resume"
)

// Decision is the result of Next.
type Decision struct {
	Action Action
	// Delay passes before the next attempt.
	Delay time.Duration
}
