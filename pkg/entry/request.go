package entry

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// Request is a caller's request, parsed and resolved against the configuration. It is immutable.
type Request struct {
	ID   string
	Kind ferrypb.RequestKind
	// Target is the name of the base model or of the service.
	Target    string
	Adapter   string
	Workspace string
	Priority  int32
	// Deadline is the time at which the request fails unless it is done.
	Deadline time.Time
	// ReceivedAt is the time at which the request was read.
	ReceivedAt time.Time
	// FirstTokenTarget is the target for the time to the first token; 0 means none.
	FirstTokenTarget time.Duration
	// ModelVersion is the configured model version.
	ModelVersion string
	Method       string
	Path         string
	Header       []*ferrypb.Header
	Body         []byte
	// IdempotencyKey is the idempotency key.
	IdempotencyKey string
	// Idempotent is set if the request may be run more than once.
	Idempotent bool
	// Stream is set if the response is streamed while it is generated.
	Stream bool
	// MaxTokens is the largest number of tokens to generate; 0 means no limit.
	MaxTokens uint32
	// PrefixHash identifies the prompt's prefix in the runners' prefix caches.
	PrefixHash uint64
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens uint32
}

func (r *Request) isGeneration() bool { return r.Kind == ferrypb.RequestKind_REQUEST_KIND_GENERATE }

// retryable reports whether the request may be sent again after an attempt with an unknown outcome. With an idempotency
// key, the claims in the log prevent a second run.
func (r *Request) retryable() bool { return r.Idempotent || r.IdempotencyKey != "" }

// objectName returns the configuration object that the request addresses, as kind/name.
func (r *Request) objectName() string {
	if r.isGeneration() {
		return "model/" + r.Target
	}
	return "service/" + r.Target
}
