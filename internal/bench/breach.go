package bench

import (
	"fmt"
	"maps"
	"slices"

	"trefoilferry.example/ferry/pkg/failure"
)

// BreachKind names a behaviour that must never occur.
type BreachKind string

// Kinds of breaches.
const (
	// WrongAnswer is an answer that is foreign, altered, or short without an error.
	WrongAnswer BreachKind = "wrong_answer"
	// NotRunButRan is a request whose caller was told not_run and that a backend server ran.
	NotRunButRan BreachKind = "not_run_but_ran"
	// KeyRanTwice is an idempotency key with more than one run.
	KeyRanTwice BreachKind = "key_ran_twice"
	// MemoryOverdrawn is an order that asked for more memory than the accelerator has.
	MemoryOverdrawn BreachKind = "memory_overdrawn"
	// RequestCut is a request in progress whose model was unloaded.
	RequestCut BreachKind = "request_cut"
	// ResumeMismatch is a resume text that is not the beginning of the answer.
	ResumeMismatch BreachKind = "resume_mismatch"
)

// Breach is one occurrence, or a count of them where the backend servers only count.
type Breach struct {
	Kind    BreachKind `json:"kind"`
	Subject string     `json:"subject,omitempty"`
	Detail  string     `json:"detail"`
}

// breachesOf compares what callers saw with what the backend servers did.
func breachesOf(observations []*Observation, e *Evidence) []Breach {
	var out []Breach
	for _, o := range observations {
		if o.Wrong != "" {
			out = append(out, Breach{WrongAnswer, o.Arrival.ID, o.Wrong})
		}
		if o.Outcome == failure.NotRun && len(e.Runs[o.Arrival.ID]) > 0 {
			detail := fmt.Sprintf("answered %s, not_run; ran at %v", o.Code, e.Runs[o.Arrival.ID])
			out = append(out, Breach{NotRunButRan, o.Arrival.ID, detail})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(e.KeyRuns)) {
		if n := e.KeyRuns[key]; n > 1 {
			out = append(out, Breach{KeyRanTwice, key, fmt.Sprintf("ran %d times", n)})
		}
	}
	out = appendCount(out, MemoryOverdrawn, e.Overdraws)
	out = appendCount(out, RequestCut, e.CutRequests)
	return appendCount(out, ResumeMismatch, e.ResumeMismatches)
}

func appendCount(out []Breach, kind BreachKind, n int) []Breach {
	if n == 0 {
		return out
	}
	return append(out, Breach{Kind: kind, Detail: fmt.Sprintf("counted %d times", n)})
}
