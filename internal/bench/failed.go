package bench

import (
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// FailedRequest describes a request that got no complete and correct response.
type FailedRequest struct {
	ID           string          `json:"id"`
	Class        Class           `json:"class"`
	Member       string          `json:"member"`
	PromptTokens int             `json:"prompt_tokens"`
	At           time.Duration   `json:"at_ns"`
	Duration     time.Duration   `json:"took_ns"`
	Tokens       int             `json:"tokens"`
	Code         failure.Code    `json:"code"`
	Outcome      failure.Outcome `json:"outcome"`
	// Runners are the names of the runners that ran the request.
	Runners []string `json:"runners"`
}

// failedRequests returns the requests that got no complete and correct response.
func failedRequests(observations []*Observation, counters *BackendCounters) []FailedRequest {
	var out []FailedRequest
	for _, o := range observations {
		if o.Complete {
			continue
		}
		a := o.Arrival
		out = append(out, FailedRequest{
			ID: a.ID, Class: a.Class, Member: a.Member.Name, PromptTokens: a.PromptTokens, At: a.At, Duration: o.Elapsed,
			Tokens: o.Tokens, Code: o.Code, Outcome: o.Outcome, Runners: counters.RunnersByRequest[a.ID],
		})
	}
	return out
}
