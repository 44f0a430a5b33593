package queue

import (
	"time"

	"trefoilferry.example/ferry/pkg/object"
)

// Request is one generation that asks for a slot of the engine.
type Request struct {
	// ID is unique among the requests in the queue.
	ID        string
	Workspace string
	Model     string
	// Adapter is empty for the base model.
	Adapter  string
	Priority int32
	// Arrived is the time at which the agent got the request.
	Arrived time.Time
	// FirstTokenBy is the time at which the first token is due; zero means no target.
	FirstTokenBy time.Time
	// Deadline is the time at which the whole request is due; zero means none.
	Deadline     time.Time
	PromptTokens uint32
	// CachedTokens is the part of the prompt that the prefix cache holds.
	CachedTokens uint32
	// Blocks are the hashes of the prompt's leading blocks, as engine.PrefixHashes; empty while unknown.
	Blocks []uint64
	// AdapterWait is the expected time until the adapter is resident.
	AdapterWait time.Duration
	// late is set by the queue when the own prefill alone takes longer than the target.
	late bool
}

// member is one capped entity that a request counts towards.
type member struct {
	kind object.MemberKind
	name string
}

// members returns the entities that the request counts towards.
func (r *Request) members() []member {
	out := []member{{object.MemberWorkspace, r.Workspace}, {object.MemberModel, r.Model}}
	if r.Adapter != "" {
		out = append(out, member{object.MemberAdapter, r.Adapter})
	}
	return out
}

// prefillTokens returns the prompt tokens that are not cached.
func (r *Request) prefillTokens() float64 {
	if r.CachedTokens >= r.PromptTokens {
		return 0
	}
	return float64(r.PromptTokens - r.CachedTokens)
}
