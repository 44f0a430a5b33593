package failure

// Outcome tells whether a backend server ran the request, which decides whether a retry is safe.
type Outcome string

const (
	// NotRun means that the request certainly was not run by any backend server.
	NotRun Outcome = "not_run"
	// Ran means that a backend server responded to the request.
	Ran Outcome = "ran"
	// Unknown means that the request may have been run.
	Unknown Outcome = "unknown"
)

// ParseOutcome returns the outcome named by s. Any other name maps to Unknown,
// because a false NotRun would allow the request to run twice.
func ParseOutcome(s string) Outcome {
	switch Outcome(s) {
	case NotRun:
		return NotRun
	case Ran:
		return Ran
	default:
		return Unknown
	}
}
