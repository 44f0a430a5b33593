package verdict

import "trefoilferry.example/ferry/pkg/failure"

// Combine returns the outcome of a request, given the combined outcome of its earlier attempts and that of the last one. A
// refused last attempt does not make the outcome of an earlier one more certain.
func Combine(earlier, last failure.Outcome) failure.Outcome {
	if earlier == failure.Ran || last == failure.Ran {
		return failure.Ran
	}
	if earlier == failure.Unknown || last == failure.Unknown {
		return failure.Unknown
	}
	return failure.NotRun
}
