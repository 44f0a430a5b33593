package entry

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/routing"
)

// job is the progress of one request over its attempts.
type job struct {
	request *Request
	sink    Sink
	rand    *rand.Rand
	backoff *backoff.ExponentialBackOff
	// attempts counts exec calls and refusals by probes.
	attempts int
	tried    map[string]bool
	outcome  failure.Outcome
	// text is the verified text of a generation so far, and tokens its length in tokens.
	text   []byte
	tokens uint32
	// version of the model that generated text.
	version string
	// firstAt and lastAt are the times of the first and the last data.
	firstAt time.Time
	lastAt  time.Time
}

// started reports whether a part of the answer is known.
func (j *job) started() bool { return len(j.text) > 0 || j.tokens > 0 }

// restart forgets the answer so far; it must not have been delivered.
func (j *job) restart() {
	j.text = nil
	j.tokens = 0
	j.version = ""
	j.sink.Discard()
}

// usable selects the candidates whose version fits: that of the text so far or, for a new answer, the version in
// force. While no copy of the version in force is ready, the copies of other versions keep the model reachable.
func (j *job) usable(candidates []routing.Candidate) []routing.Candidate {
	if !j.request.generation() {
		return candidates
	}
	if j.started() {
		return withVersion(candidates, j.version)
	}
	if current := withVersion(candidates, j.request.Version); len(current) > 0 {
		return current
	}
	return candidates
}

func withVersion(candidates []routing.Candidate, version string) []routing.Candidate {
	var out []routing.Candidate
	for _, c := range candidates {
		if c.Version == version {
			out = append(out, c)
		}
	}
	return out
}

// left returns the tokens that may still be generated; 0 means no limit by the caller. The body keeps the caller's
// max_tokens, because engines count resumed tokens in it.
func (j *job) left() uint32 {
	if j.request.MaxTokens == 0 || j.tokens >= j.request.MaxTokens {
		return 0
	}
	return j.request.MaxTokens - j.tokens
}

// exhausted reports whether the answer so far already has all tokens that the caller allows.
func (j *job) exhausted() bool {
	return j.request.MaxTokens > 0 && j.tokens >= j.request.MaxTokens
}
