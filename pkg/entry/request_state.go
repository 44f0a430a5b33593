package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/routing"
)

// requestState is the state of one request across its attempts.
type requestState struct {
	request *Request
	sink    Sink
	rand    *rand.Rand
	backoff *backoff.ExponentialBackOff
	// attempts counts exec calls and rounds of probes in which all runners refused.
	attempts int
	// tried holds the runners that have been tried or have refused.
	tried map[string]bool
	// versions holds the runners that have replaced the version of their ready copy; it is shared by all requests.
	versions *replacedVersions
	// outcome covers all attempts so far.
	outcome failure.Outcome
	// reserved is the runner of the next attempt, whose retry is paid for; nil if it is not chosen yet.
	reserved *routing.Candidate
	// text is the verified text generated so far, and tokens its length in tokens.
	text   []byte
	tokens uint32
	// version is the model version that generated text.
	version string
	// firstDataAt and lastDataAt are the times of the first and the latest data frame.
	firstDataAt time.Time
	lastDataAt  time.Time
}

// hasOutput reports whether a part of the generation has been received.
func (rs *requestState) hasOutput() bool { return len(rs.text) > 0 || rs.tokens > 0 }

// discardOutput drops the output received so far, which must not have been delivered to the caller.
func (rs *requestState) discardOutput() {
	rs.text = nil
	rs.tokens = 0
	rs.version = ""
	rs.sink.Discard()
}

// eligible returns the candidates with the right model version: the version that generated the text so far or, without
// text, the configured version. While no copy of the configured version is ready, copies of other versions are eligible
// too, which keeps the model reachable.
func (rs *requestState) eligible(candidates []routing.Candidate) []routing.Candidate {
	if !rs.request.isGeneration() {
		return candidates
	}
	if rs.hasOutput() {
		return withVersion(candidates, rs.version)
	}
	if current := withVersion(candidates, rs.request.ModelVersion); len(current) > 0 {
		return current
	}
	return rs.withReplaced(candidates)
}

// withReplaced returns the candidates with the configured version at the runners that refused their ready copy's
// version. Such a runner has loaded the configured version beside or instead of the old one, and engines serve the
// newest. The placement records show it as ready only after the next append, so not before the end of a log outage.
func (rs *requestState) withReplaced(candidates []routing.Candidate) []routing.Candidate {
	out := slices.Clone(candidates)
	for i, c := range out {
		if rs.versions.asks(c.Runner, rs.request.Target, rs.request.ModelVersion) {
			out[i].Version = rs.request.ModelVersion
		}
	}
	return out
}

// recordVersion records from the result of an attempt which version the runner is asked for next. It switches between
// the configured version and the one of the ready copy as long as the runner refuses each as not loaded.
func (rs *requestState) recordVersion(c routing.Candidate, err error) {
	if rs.hasOutput() || !rs.request.isGeneration() || !failure.HasCode(err, failure.NotLoaded) {
		return
	}
	if c.Version == rs.request.ModelVersion {
		rs.versions.clear(c.Runner, rs.request.Target)
		return
	}
	rs.versions.set(c.Runner, rs.request.Target, rs.request.ModelVersion)
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

// remainingTokens returns the number of tokens that may still be generated; 0 means no limit. The request body keeps the
// caller's max_tokens, because engines include resumed tokens in that limit.
func (rs *requestState) remainingTokens() uint32 {
	if rs.request.MaxTokens == 0 || rs.tokens >= rs.request.MaxTokens {
		return 0
	}
	return rs.request.MaxTokens - rs.tokens
}

// tokenLimitReached reports whether the output so far already has the largest number of tokens that the request allows.
func (rs *requestState) tokenLimitReached() bool {
	return rs.request.MaxTokens > 0 && rs.tokens >= rs.request.MaxTokens
}
