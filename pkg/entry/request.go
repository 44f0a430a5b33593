package entry

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// Request is one parsed and resolved request of a caller. It does not change while it is served.
type Request struct {
	ID   string
	Kind ferrypb.RequestKind
	// Target is the base model or the service.
	Target    string
	Adapter   string
	Workspace string
	Priority  int32
	// Deadline is the latest end of the request.
	Deadline time.Time
	// Received is the time at which the request was read.
	Received time.Time
	// FirstToken is the target for the time to the first token; 0 means none.
	FirstToken time.Duration
	// Version is the model version in force.
	Version string
	Method  string
	Path    string
	Header  []*ferrypb.Header
	Body    []byte
	// Key is the idempotency key.
	Key string
	// Idempotent is set when the request may run more than once.
	Idempotent bool
	// Stream is set when the answer is delivered as it is generated.
	Stream bool
	// MaxTokens is the largest number of generated tokens; 0 means no limit by the caller.
	MaxTokens    uint32
	PrefixHash   uint64
	PromptTokens uint32
}

func (r *Request) generation() bool { return r.Kind == ferrypb.RequestKind_REQUEST_KIND_GENERATE }

// repeatable reports whether a lost attempt may be followed by another one. With an idempotency key the
// claims in the log prevent a second run.
func (r *Request) repeatable() bool { return r.Idempotent || r.Key != "" }

// object returns the configuration object of the request as kind/name.
func (r *Request) object() string {
	if r.generation() {
		return "model/" + r.Target
	}
	return "service/" + r.Target
}
