package gateway

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/availability"
	"trefoilferry.example/ferry/pkg/routing"
	"trefoilferry.example/ferry/pkg/serverlimit"
	"trefoilferry.example/ferry/pkg/serverspeed"
)

const (
	// plainRegionCost is the round trip to another region. Plain services, which serve no models, take about as long to
	// respond.
	plainRegionCost = 45 * time.Millisecond
	// modelRegionCost also covers the billed traffic of prompts and streams. In the simulation of one busy model it lowers
	// the share of requests sent to other regions from 0.49 (with plainRegionCost) to 0.37 at the same share of late
	// responses; 400 ms makes more responses late.
	modelRegionCost = 250 * time.Millisecond
	// maxLoadAge is the age up to which the load that a server reported is used.
	maxLoadAge = 400 * time.Millisecond
	// backlogCost and backlogPerStream keep long prompts away from runners with many streams. In the simulation of one
	// busy model they lower the share of late questions from 0.18 to 0.17 at 31 entry hosts and from 0.11 to 0.10 at 5.
	backlogCost      = 1500 * time.Microsecond
	backlogPerStream = 0.3
	// limitCost is about what a request waits at a server with a limit once that is used up.
	limitCost = 1500 * time.Millisecond
	// plainServiceTime is the usual duration of a request at a plain service.
	plainServiceTime = 60 * time.Millisecond
)

// chooser picks the server for an attempt. It keeps no state: its inputs are the view, the tracker and the arguments.
type chooser struct {
	region string
	// regionOf maps failure domains to regions.
	regionOf map[string]string
	// models and plain are the policies for requests to a model and to a plain service.
	models *routing.Policy
	plain  *routing.Policy
	// limits keeps the requests within the limits that servers name; nil for none.
	limits *serverlimit.Table
	// availability is what the servers say about taking requests; nil for none.
	availability *availability.Table
}

func newChooser(region string, regionOf map[string]string) *chooser {
	backlog := routing.BacklogScorer{Cost: backlogCost, PerStream: backlogPerStream}
	return &chooser{region: region, regionOf: regionOf, models: newPolicy(modelRegionCost, backlog), plain: newPolicy(plainRegionCost)}
}

func newPolicy(regionPenalty time.Duration, further ...routing.Scorer) *routing.Policy {
	return &routing.Policy{
		Filters: []routing.Filter{routing.DrainingFilter{}, routing.PausedFilter{}, routing.TriedFilter{}, routing.SuspectFilter{}},
		Scorers: append([]routing.Scorer{routing.RegionCostScorer{Cost: regionPenalty}, routing.LimitScorer{Cost: limitCost}, routing.FirstTokenScorer{}}, further...),
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

// choose returns the server with the lowest score; false when no server can run the request now.
func (c *chooser) choose(j *job, view *View, tracker *Tracker, now time.Time) (choice, bool) {
	query := &routing.Query{
		Target: j.meta.Model, Adapter: j.meta.Adapter, Region: c.region,
		Tried: j.tried, Suspects: tracker.Suspects(), Now: now,
	}
	policy := c.policy(j)
	known := c.candidates(j, view, tracker, now)
	candidates := policy.Filter(query, known)
	if len(candidates) == 0 {
		return choice{pause: soonestReturn(known, j.tried)}, false
	}
	candidates, limitWait := c.withinLimits(candidates, j, now)
	if len(candidates) == 0 {
		return choice{limited: true, limitWait: limitWait}, false
	}
	owner, second := c.cacheOwners(j, candidates)
	scored := make([]routing.Scored, 0, len(candidates))
	prefill := make(map[string]int, len(candidates))
	speeds := c.speedsFor(j, tracker, now)
	for i := range candidates {
		cand := candidates[i]
		if j.needsModel() {
			prefill[cand.Runner] = c.uncachedTokens(j, cand.Runner, tracker, expectedCacheShare(i, owner, second))
			cand.Prediction = c.predictModel(view, tracker, cand.Runner, prefill[cand.Runner], speeds, now)
		} else {
			cand.Prediction = c.predictPlain(view, tracker, cand.Runner, speeds, now)
		}
		score := policy.Score(query, cand) + speeds.spread(j, cand.Runner) + speeds.streamCost(j, view, cand.Runner, now)
		scored = append(scored, routing.Scored{Candidate: cand, Score: score})
	}
	best := policy.Picker.Pick(query, scored)
	return choice{
		server: view.Servers[best.Runner], candidates: len(candidates), predicted: best.Prediction.FirstToken,
		prefill: prefill[best.Runner], reportAge: now.Sub(view.ServersAt), far: best.Region != c.region,
		work: serverspeed.Work{Tokens: best.Prediction.BacklogTokens, Running: best.Prediction.Streams}, slowness: best.Prediction.Slowness,
		leaving: slices.ContainsFunc(known, func(c routing.Candidate) bool { return c.Draining }),
		paused:  slices.ContainsFunc(known, func(c routing.Candidate) bool { return c.PauseLeft > 0 }),
	}, true
}

// candidates returns the servers that can run the request as far as this daemon knows.
func (c *chooser) candidates(j *job, view *View, tracker *Tracker, now time.Time) []routing.Candidate {
	var out []routing.Candidate
	for _, id := range view.ByService[j.service.Name] {
		s := view.Servers[id]
		if j.only != nil && !j.only[id] {
			continue
		}
		if j.needsModel() && (!view.holding(&s, now).Serves(j.meta.Model, j.meta.Adapter) || tracker.NotLoaded(id, j.meta.Model, j.meta.Adapter, now)) {
			continue
		}
		out = append(out, routing.Candidate{
			Runner: id, Address: s.Address, Region: c.regionOf[s.FailureDomain], FailureDomain: s.FailureDomain,
			Draining:  s.Draining || c.availability.Leaving(incarnationOf(&s)),
			PauseLeft: c.availability.PauseLeft(incarnationOf(&s), now),
		})
	}
	return out
}

// withinLimits returns the candidates that may get another request now. If there are none, the request counts as held back
// at all of them, and withinLimits returns how long it will wait.
func (c *chooser) withinLimits(candidates []routing.Candidate, j *job, now time.Time) ([]routing.Candidate, time.Duration) {
	if c.limits == nil {
		return candidates, 0
	}
	allowed := make([]routing.Candidate, 0, len(candidates))
	var refused []string
	for i := range candidates {
		if c.limits.Allows(candidates[i].Runner, j.held, now) {
			candidates[i].LimitUsed = c.limits.Used(candidates[i].Runner, now)
			allowed = append(allowed, candidates[i])
		} else {
			refused = append(refused, candidates[i].Runner)
		}
	}
	if len(allowed) == 0 && j.extraAttempt {
		return nil, 0
	}
	if len(allowed) == 0 {
		return nil, c.limits.RecordHeld(refused, now)
	}
	return allowed, 0
}

// cacheOwners returns the indexes of the two candidates that rendezvous hashing ranks highest for the shared prompt
// parts, so that all daemons prefer the same runners; -1 for none.
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

// secondOwnerCacheShare is the share of the shared parts that the second owner is expected to have cached: requests
// overflow to it while the first one is busy.
const secondOwnerCacheShare = 0.6

// expectedCacheShare returns the share of the shared parts that a candidate is expected to have cached, given its
// rendezvous rank alone.
func expectedCacheShare(candidate, first, second int) float64 {
	switch candidate {
	case first:
		return 1
	case second:
		return secondOwnerCacheShare
	default:
		return 0
	}
}

// uncachedTokens returns the number of prompt tokens that the runner has to process. The owner of the shared parts is
// assumed to have cached them, because the other daemons also send it requests with the same parts.
func (c *chooser) uncachedTokens(j *job, runner string, tracker *Tracker, share float64) int {
	shared := 0
	for _, link := range j.chain {
		shared += link.tokens
	}
	cached := max(tracker.CachedTokens(runner, j.chain), int(share*float64(shared)))
	return max(j.meta.PromptTokens-cached, 0)
}

// predictModel predicts the time to the first token at a runner from this daemon's requests there, those of other
// daemons and the load that the runner reported.
func (c *chooser) predictModel(view *View, tracker *Tracker, runner string, prefill int, speeds *serviceSpeeds, now time.Time) *routing.Prediction {
	local := tracker.Work(runner)
	queued, running := local.promptTokens, local.requests
	if view.Placement != nil && now.Sub(view.PlacementAt) < maxPlacementAge {
		queued += view.Placement.PeerTokens[runner]
		running += view.Placement.PeerRequests[runner]
	}
	if local.load.Known && now.Sub(local.loadAt) < maxLoadAge {
		running = max(running, local.load.Running+local.load.Waiting)
	}
	w := serverspeed.Work{Tokens: max(queued, 0) + prefill, Running: running}
	slowness := speeds.slowness(view, runner, now)
	return &routing.Prediction{
		Accepts: true, AdapterResident: true, FirstToken: predictFirstToken(speeds.rates, w, slowness),
		BacklogTokens: w.Tokens, Streams: running, Slowness: slowness,
	}
}

// predictPlain predicts the time to the response, queueing included, at a server of a plain service.
func (c *chooser) predictPlain(view *View, tracker *Tracker, server string, speeds *serviceSpeeds, now time.Time) *routing.Prediction {
	local := tracker.Work(server)
	slots := max(view.Servers[server].Slots, 1)
	busy := local.requests
	if local.load.Known && now.Sub(local.loadAt) < maxLoadAge {
		busy = max(busy, local.load.Running+local.load.Waiting)
	}
	slowness := speeds.slowness(view, server, now)
	first := time.Duration(float64(plainTime(slots, busy)) * slowness)
	return &routing.Prediction{Accepts: true, AdapterResident: true, FirstToken: first, Streams: busy, Slowness: slowness}
}
