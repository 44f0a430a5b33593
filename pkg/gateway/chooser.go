package gateway

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/routing"
)

const (
	// regionCost is the round trip to another region for requests to plain services, whose answers take about as long.
	regionCost = 45 * time.Millisecond
	// modelRegionCost also covers the billed traffic of prompts and streams. In the simulation of one busy model the share
	// sent to other regions falls from 0.49 to 0.37 against regionCost, with the same share of late answers; at 400 ms
	// more answers are late.
	modelRegionCost = 250 * time.Millisecond
	// loadFreshness is the age up to which a server's own load counts.
	loadFreshness = 400 * time.Millisecond
	// backlogCost and backlogPerStream keep long prompts away from runners with many streams. In the simulation of one
	// busy model the share of late questions falls from 0.18 to 0.17 at 31 entry hosts and from 0.11 to 0.10 at 5.
	backlogCost      = 1500 * time.Microsecond
	backlogPerStream = 0.3
	// plainWork is the usual time of a request at a plain service.
	plainWork = 60 * time.Millisecond
)

// chooser picks the server of an attempt. It is pure: all inputs are in the view, the tracker and the arguments.
type chooser struct {
	region   string
	regionOf map[string]string
	// models and plain rate servers for requests to a model and to a plain service.
	models *routing.Policy
	plain  *routing.Policy
}

func newChooser(region string, regionOf map[string]string) *chooser {
	backlog := routing.BacklogScorer{Cost: backlogCost, PerStream: backlogPerStream}
	return &chooser{region: region, regionOf: regionOf, models: newPolicy(modelRegionCost, backlog), plain: newPolicy(regionCost)}
}

func newPolicy(region time.Duration, further ...routing.Scorer) *routing.Policy {
	return &routing.Policy{
		Filters: []routing.Filter{routing.LeavingFilter{}, routing.TriedFilter{}, routing.SuspectFilter{}},
		Scorers: append([]routing.Scorer{routing.RegionCostScorer{Cost: region}, routing.FirstTokenScorer{}}, further...),
		Picker:  routing.LowestPicker{},
	}
}

// policy returns the policy for a request.
func (c *chooser) policy(j *job) *routing.Policy {
	if j.needsModel() {
		return c.models
	}
	return c.plain
}

// choose returns the best server; false when none can run the request now.
func (c *chooser) choose(j *job, view *View, work *Tracker, now time.Time) (choice, bool) {
	query := &routing.Query{
		Target: j.meta.Model, Adapter: j.meta.Adapter, Region: c.region,
		Tried: j.tried, Suspects: work.Suspects(), Now: now,
	}
	policy := c.policy(j)
	candidates := policy.Filter(query, c.candidates(j, view, work, now))
	if len(candidates) == 0 {
		return choice{}, false
	}
	owner, second := c.cacheOwners(j, candidates)
	scored := make([]routing.Scored, 0, len(candidates))
	prefill := make(map[string]int, len(candidates))
	for i := range candidates {
		cand := candidates[i]
		if j.needsModel() {
			prefill[cand.Runner] = c.uncached(j, cand.Runner, work, expectedShare(i, owner, second))
			cand.Prediction = c.predictModel(view, work, cand.Runner, prefill[cand.Runner], now)
		} else {
			cand.Prediction = c.predictPlain(view, work, cand.Runner, now)
		}
		scored = append(scored, routing.Scored{Candidate: cand, Score: policy.Score(query, cand)})
	}
	best := policy.Picker.Pick(query, scored)
	return choice{
		server: view.Servers[best.Runner], candidates: len(candidates), predicted: best.Prediction.FirstToken,
		prefill: prefill[best.Runner], reportAge: now.Sub(view.ServersAt),
	}, true
}

// candidates returns the servers that can run the request by what is known of them.
func (c *chooser) candidates(j *job, view *View, work *Tracker, now time.Time) []routing.Candidate {
	var out []routing.Candidate
	for _, id := range view.ByService[j.service.Name] {
		s := view.Servers[id]
		if j.needsModel() && (!view.holding(&s, now).Serves(j.meta.Model, j.meta.Adapter) || work.Denies(id, j.meta.Model, j.meta.Adapter, now)) {
			continue
		}
		out = append(out, routing.Candidate{
			Runner: id, Address: s.Address, Region: c.regionOf[s.FailureDomain],
			FailureDomain: s.FailureDomain, Leaving: s.Draining,
		})
	}
	return out
}

// cacheOwners returns the indexes of the two runners that all daemons prefer for the shared prompt parts; -1 for none.
func (c *chooser) cacheOwners(j *job, candidates []routing.Candidate) (first, second int) {
	if len(j.chain) == 0 {
		return -1, -1
	}
	key := prefixKey(j.chain)
	first = routing.Rendezvous(key, candidates)
	if first < 0 || len(candidates) < 2 {
		return first, -1
	}
	rest := slices.Delete(slices.Clone(candidates), first, first+1)
	second = routing.Rendezvous(key, rest)
	if second >= first {
		second++
	}
	return first, second
}

// secondShare is the share of the shared parts that the second runner is expected to keep: requests overflow to it
// while the first one is busy.
const secondShare = 0.6

// expectedShare returns the share of the shared parts that a candidate is expected to keep by its rank alone.
func expectedShare(candidate, first, second int) float64 {
	switch candidate {
	case first:
		return 1
	case second:
		return secondShare
	default:
		return 0
	}
}

// uncached returns the prompt tokens that the runner has to process. The owner of the shared parts is expected to
// keep them, because the other daemons send requests with the same parts there as well.
func (c *chooser) uncached(j *job, runner string, work *Tracker, share float64) int {
	shared := 0
	for _, link := range j.chain {
		shared += link.tokens
	}
	cached := max(work.CachedTokens(runner, j.chain), int(share*float64(shared)))
	return max(j.meta.PromptTokens-cached, 0)
}

func (c *chooser) predictModel(view *View, work *Tracker, runner string, prefill int, now time.Time) *routing.Prediction {
	own := work.Work(runner)
	queued, running := own.promptTokens, own.requests
	if view.Placement != nil && now.Sub(view.PlacementAt) < placementFreshness {
		queued += view.Placement.PeerTokens[runner]
		running += view.Placement.PeerRequests[runner]
	}
	if own.load.Known && now.Sub(own.loadAt) < loadFreshness {
		running = max(running, own.load.Running+own.load.Waiting)
	}
	return &routing.Prediction{
		Accepts: true, AdapterResident: true, FirstToken: predictFirstToken(queued, prefill, running),
		Backlog: max(queued, 0) + prefill, Streams: running,
	}
}

// predictPlain returns the expected wait and work at a plain server.
func (c *chooser) predictPlain(view *View, work *Tracker, server string, now time.Time) *routing.Prediction {
	own := work.Work(server)
	slots := max(view.Servers[server].Slots, 1)
	busy := own.requests
	if own.load.Known && now.Sub(own.loadAt) < loadFreshness {
		busy = max(busy, own.load.Running+own.load.Waiting)
	}
	first := plainWork * time.Duration(slots+busy) / time.Duration(slots)
	return &routing.Prediction{Accepts: true, AdapterResident: true, FirstToken: first}
}
