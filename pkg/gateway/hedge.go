package gateway

import (
	"slices"

	"trefoilferry.example/ferry/pkg/failure"
)

// hedge decides about the attempts of one request that are in progress side by side: whose result is the answer, who is
// waited for and whether another server may get the request. It reads no clock and does no I/O.
type hedge struct {
	// maxAttempts bounds the servers at which the request may have been executed.
	maxAttempts int
	// running holds the numbers of the attempts in progress, in the order in which they began.
	running []int
}

// hedgeStep is what follows from the end of an attempt.
type hedgeStep string

const (
	// hedgeAnswer means that the caller gets the response of the attempt. All others are cancelled.
	hedgeAnswer hedgeStep = "answer"
	// hedgeWait means that the attempt failed and the others, which were sent after it, go on.
	hedgeWait hedgeStep = "wait"
	// hedgeReplace means that the attempt failed and the server before it, which was silent then, goes on. Another server
	// may take the place of the one that failed at once.
	hedgeReplace hedgeStep = "replace"
	// hedgeOver means that the last attempt failed: its failure is the result.
	hedgeOver hedgeStep = "over"
)

// begin adds an attempt.
func (h *hedge) begin(n int) { h.running = append(h.running, n) }

// end removes an attempt and returns what follows; fail is nil if its response was complete. No failure ends the others:
// each of them was sent and paid for, and may still serve the caller. Only what ends the request itself does, its
// deadline or the caller, and that ends each attempt by itself.
func (h *hedge) end(n int, fail *failure.Failure) hedgeStep {
	h.running = slices.DeleteFunc(h.running, func(other int) bool { return other == n })
	switch {
	case fail == nil:
		return hedgeAnswer
	case len(h.running) == 0:
		return hedgeOver
	case h.running[len(h.running)-1] < n:
		return hedgeReplace
	default:
		return hedgeWait
	}
}

// mayAdd reports whether another server may get the request beside those in progress, after sent earlier attempts that may
// have been executed, and the given numbers of refusals and failed connections.
func (h *hedge) mayAdd(sent, refused, unreached int) bool {
	return sent+len(h.running) < h.maxAttempts && refused <= maxRefusals && unreached <= maxUnreachedAttempts
}
