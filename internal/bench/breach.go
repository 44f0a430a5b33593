package bench

import (
	"fmt"
	"maps"
	"slices"

	"trefoilferry.example/ferry/pkg/failure"
)

// BreachKind is a kind of violated guarantee.
type BreachKind string

// Kinds of breaches.
const (
	// WrongResponse is a response that belongs to another request, is altered, or is truncated without an error.
	WrongResponse BreachKind = "wrong_answer"
	// NotRunButRan is a request that failed with outcome not_run although a backend server ran it.
	NotRunButRan BreachKind = "not_run_but_ran"
	// KeyRanTwice is an idempotency key whose call ran more than once.
	KeyRanTwice BreachKind = "key_ran_twice"
	// MemoryOverdrawn is an order that needed more memory than the accelerator has.
	MemoryOverdrawn BreachKind = "memory_overdrawn"
	// RequestCut is a request whose model was unloaded while it was in progress.
	RequestCut BreachKind = "request_cut"
	// ResumeMismatch is a resume request whose text is not a prefix of the response.
	ResumeMismatch BreachKind = "resume_mismatch"
)

// Breach is one violation of a guarantee, or a count of violations where the backend servers only count them. Subject is
// the request ID or the idempotency key.
type Breach struct {
	Kind    BreachKind `json:"kind"`
	Subject string     `json:"subject,omitempty"`
	Detail  string     `json:"detail"`
}

// breachesOf finds violations by comparing the callers' observations with the counters of the backend servers.
func breachesOf(observations []*Observation, counters *BackendCounters) []Breach {
	var out []Breach
	for _, o := range observations {
		if o.WrongReason != "" {
			out = append(out, Breach{WrongResponse, o.Arrival.ID, o.WrongReason})
		}
		if o.Outcome == failure.NotRun && len(counters.RunnersByRequest[o.Arrival.ID]) > 0 {
			detail := fmt.Sprintf("answered %s, not_run; ran at %v", o.Code, counters.RunnersByRequest[o.Arrival.ID])
			out = append(out, Breach{NotRunButRan, o.Arrival.ID, detail})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(counters.RunsByKey)) {
		if n := counters.RunsByKey[key]; n > 1 {
			out = append(out, Breach{KeyRanTwice, key, fmt.Sprintf("ran %d times", n)})
		}
	}
	out = appendCount(out, MemoryOverdrawn, counters.Overdraws)
	out = appendCount(out, RequestCut, counters.CutRequests)
	return appendCount(out, ResumeMismatch, counters.ResumeMismatches)
}

// appendCount appends a breach that stands for n occurrences; none for 0.
func appendCount(out []Breach, kind BreachKind, n int) []Breach {
	if n == 0 {
		return out
	}
	return append(out, Breach{Kind: kind, Detail: fmt.Sprintf("counted %d times", n)})
}
