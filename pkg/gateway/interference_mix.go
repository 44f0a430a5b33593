package gateway

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// mixMemory is the time after which what was seen of a service counts by the factor 1/e. It covers ten requests
	// of a daemon with one in two seconds, and follows a change of the callers.
	mixMemory = 20 * time.Second
	// forgetMixAfter is the time without a request after which nothing of a service is left to count.
	forgetMixAfter = 10 * mixMemory
	// minMixRequests is the number of requests lately seen below which nothing is said about a service.
	minMixRequests = 5
	// minMixShare is the least share of the work that each kind must have. Below it, one server set apart for the kind
	// would be mostly idle.
	minMixShare = 0.1
	// shortPromptTokens and longPromptTokens bound the uncached tokens of short and long prompts. A runner processes 1,000
	// tokens within about one event of its streams; 5,000 tokens delay its streams by about 160 ms, which callers notice
	// when two such prompts follow each other or the server is slow. A bound of 10,000 was better in the simulation and worse
	// on the bench (docs/design/long-and-short-prompts.md).
	shortPromptTokens = 1000
	longPromptTokens  = 5000
	// countedPromptTokens divides the prompts into two kinds when their work is counted.
	countedPromptTokens = 3000
)

// promptMix counts the work that requests with long and short prompts have lately caused, by model service. It is safe for
// concurrent use.
type promptMix struct {
	mu       sync.Mutex
	services map[string]*mixCount
}

// mixCount is the work of one service, as it counts at a moment.
type mixCount struct {
	requests float64
	// long and all are in seconds of accelerator time.
	long float64
	all  float64
	at   time.Time
}

func newPromptMix() *promptMix { return &promptMix{services: map[string]*mixCount{}} }

// record counts an attempt with the given number of uncached prompt tokens.
func (p *promptMix) record(service string, uncached int, work time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.services[service]
	if !ok {
		// Services that are gone are dropped when another one is first seen.
		maps.DeleteFunc(p.services, func(_ string, old *mixCount) bool { return now.Sub(old.at) > forgetMixAfter })
		c = &mixCount{at: now}
		p.services[service] = c
	}
	c.decay(now)
	c.requests++
	c.all += work.Seconds()
	if uncached >= countedPromptTokens {
		c.long += work.Seconds()
	}
}

// longShare returns the share of the work of a service that long prompts cause; false unless both kinds meet there.
func (p *promptMix) longShare(service string, now time.Time) (float64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.services[service]
	if !ok {
		return 0, false
	}
	c.decay(now)
	if c.requests < minMixRequests || c.all <= 0 {
		return 0, false
	}
	share := c.long / c.all
	return share, share >= minMixShare && share <= 1-minMixShare
}

// decay lets the counts of earlier requests fade.
func (c *mixCount) decay(now time.Time) {
	if passed := now.Sub(c.at); passed > 0 {
		factor := math.Exp(-passed.Seconds() / mixMemory.Seconds())
		c.requests, c.long, c.all = c.requests*factor, c.long*factor, c.all*factor
		c.at = now
	}
}
