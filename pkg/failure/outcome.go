package failure

// Outcome tells whether a request was run by a backend server.
type Outcome string

const (
	// NotRun means that there is evidence that no backend server ran the request.
	NotRun Outcome = "not_run"
	// Ran means that a backend server answered the request.
	Ran Outcome = "ran"
	// Unknown means that the request may have been run.
	Unknown Outcome = "unknown"
)

// ParseOutcome returns the outcome named by s. Every unknown name maps to Unknown,
// because a wrong NotRun would permit a second run.
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
