package retry

import "time"

// Action is what to do after a failed attempt.
type Action string

const (
	// GiveUp returns the failure to the caller.
	GiveUp Action = "give_up"
	// Resend sends the request again, preferably to another runner.
	Resend Action = "elsewhere"
	// Wait waits until a runner is available; it uses neither an attempt nor retry budget.
	Wait Action = "wait"
	// Resume continues a broken stream after the text that the caller has already received.
	Resume Action = "resume"
)

// Decision is the result of Next.
type Decision struct {
	Action Action
	// Delay is the time to wait before the next attempt.
	Delay time.Duration
}
