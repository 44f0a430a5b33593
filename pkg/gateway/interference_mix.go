package gateway

import (
	"math"
	"sync"
	"time"
)

const (
	// mixMemory is the time after which what was seen of a service counts by the factor 1/e. It covers ten requests
	// of a daemon with one in six seconds, as in fleets of a hundred daemons; the marks need not follow a burst.
	mixMemory = 60 * time.Second
	// minMixRequests is the number of requests lately seen below which nothing is said about a service.
	minMixRequests = 5
	// minMixShare is the least share of the work that each kind must have. Below it, one server set apart for the kind
	// would be mostly idle.
	minMixShare = 0.1
	// shortPromptTokens and longPromptTokens bound the uncached tokens of short and long prompts. A runner processes 1,000
	// tokens within about one event of its streams; 10,000 tokens delay its streams by over 300 ms. In the simulation, an
	// upper bound of 5,000 makes as many chats late and up to one summary in a hundred more.
	shortPromptTokens = 1000
	longPromptTokens  = 10000
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
