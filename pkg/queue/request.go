package queue

import (
	"time"

	"trefoilferry.example/ferry/pkg/object"
)

// Request is a generation request that needs a slot of the engine.
type Request struct {
	// ID is unique among the requests in the queue.
	ID        string
	Workspace string
	Model     string
	// Adapter is empty for the base model.
	Adapter  string
	Priority int32
	// Arrived is when the agent received the request.
	Arrived time.Time
	// FirstTokenBy is the target: the time by which the first token is due. Zero means no target.
	FirstTokenBy time.Time
	// Deadline is the time by which the request must have finished; zero means none.
	Deadline     time.Time
	PromptTokens uint32
	// CachedTokens is the number of leading prompt tokens in the engine's prefix cache.
	CachedTokens uint32
	// Blocks are the hashes of the prompt's leading blocks, as computed by engine.PrefixHashes; empty if unknown.
	Blocks []uint64
	// AdapterWait is the expected time until the adapter is loaded.
	AdapterWait time.Duration
	// late is set by the queue if the request's prefill takes longer than its target even on an idle engine.
	late bool
}

// member is a workspace, model or adapter, whose requests can be capped.
type member struct {
	kind object.MemberKind
	name string
}

// members returns the members whose caps the request counts against.
func (r *Request) members() []member {
	out := []member{{object.MemberWorkspace, r.Workspace}, {object.MemberModel, r.Model}}
	if r.Adapter != "" {
		out = append(out, member{object.MemberAdapter, r.Adapter})
	}
	return out
}

// prefillTokens returns the number of prompt tokens that are not cached.
func (r *Request) prefillTokens() float64 {
	if r.CachedTokens >= r.PromptTokens {
		return 0
	}
	return float64(r.PromptTokens - r.CachedTokens)
}
