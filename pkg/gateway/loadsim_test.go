package gateway

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/serverspeed"
)

// The simulation models entry hosts and the runners of one busy model in virtual time, without network or processes.
// Runners process prompts in chunks between the tokens of their streams, as the users' data sheets describe their
// engines. Entry hosts learn of each other's work with the same delay as through the lease holder.

const (
	simChunkTokens       = 4096
	simStep              = 5470 * time.Microsecond
	simStepPerSlot       = 12 * time.Microsecond
	simTokensPerMs       = 38.7
	simMsPerMillionPairs = 0.737 // ms for each million pairs of a prompt token and a token before it
	simTokensPerEvent    = 5
	simHopDelay          = 3 * time.Millisecond
	simRegionHopDelay    = 20 * time.Millisecond
	simCacheTokens       = 197200
	simLatePause         = 600 * time.Millisecond
	simReportPeriod      = 62 * time.Millisecond
)

// simLoad is the load of one busy model.
type simLoad struct {
	gateways, runners int
	// dossiers and questions arrive per second; a share of the questions names an adapter.
	dossiers, questions float64
	adapters            int
	adapterShare        float64
	span                time.Duration
	// uneven is how the runners differ; nil for runners that are alike and state nothing.
	uneven *simUneven
}

// simResult counts the finished requests by kind, and those that were late for their callers.
type simResult struct {
	dossiers, questions         int
	lateDossiers, lateQuestions int
	// crossRegion is the number of requests that were sent to another region.
	crossRegion int
	// byRunner counts the requests that were sent to each runner.
	byRunner map[string]int
}

type simRequest struct {
	job        *job
	dossier    bool
	gateway    int
	at         time.Duration
	prefill    int // prompt tokens that the gateway expects the runner to process
	promptLeft int // prompt tokens still to be processed
	promptDone int // prompt tokens before those
	output     int
	tokensMade int
	lastAt     time.Duration
	firstAt    time.Duration
	paused     bool
	choice     choice
	sentAt     time.Duration
}

type simGateway struct {
	chooser *chooser
	work    *Tracker
	view    *View
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type simulation struct {
	load     simLoad
	rand     *rand.Rand
	start    time.Time
	now      time.Duration
	events   simQueue
	seq      int
	runners  map[string]*simRunner
	gateways []*simGateway
	// reports holds the work that each gateway last reported to the lease holder.
	reports []map[string]serverWork
	result  simResult
	// exchange passes on what runners state, by their numbers.
	exchange *serverspeed.Exchange
	reported []time.Time
}

func newSimulation(load simLoad, seed uint64) *simulation {
	s := &simulation{load: load, rand: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(9000, 0), runners: map[string]*simRunner{},
		result: simResult{byRunner: map[string]int{}}, exchange: serverspeed.NewExchange()}
	regions := map[string]string{"z0": "r0", "z1": "r1", "z2": "r2"}
	servers, byService := map[string]fleet.Server{}, map[string][]string{}
	for i := range load.runners {
		id := fmt.Sprintf("runner-%02d", i)
		held := fleet.ResidentModel{Name: "m"}
		for a := i; a < load.adapters; a += load.runners {
			held.Adapters = append(held.Adapters, fmt.Sprint("a", a))
		}
		servers[id] = fleet.Server{ID: id, Service: "llm", FailureDomain: fmt.Sprint("z", i%3), StartMillis: 1, Models: []fleet.ResidentModel{held}}
		byService["llm"] = append(byService["llm"], id)
		s.runners[id] = &simRunner{id: id, number: i, region: fmt.Sprint("r", i%3), cache: newPrefixCache(simCacheTokens)}
	}
	for g := range load.gateways {
		view := &View{Servers: servers, ByService: byService, ServersKnown: true, ServersAt: s.start}
		s.gateways = append(s.gateways, &simGateway{chooser: newChooser(fmt.Sprint("r", g%3), regions), work: NewTracker(), view: view})
		s.reports = append(s.reports, nil)
		s.reported = append(s.reported, time.Time{})
		s.after(time.Duration(s.rand.Float64()*float64(simReportPeriod)), func() { s.report(g) })
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now + d, seq: s.seq, do: do})
}

func (s *simulation) clock() time.Time { return s.start.Add(s.now) }

func (s *simulation) run() simResult {
	s.arrivals(s.load.dossiers, true)
	s.arrivals(s.load.questions, false)
	if u := s.load.uneven; u != nil && u.crashed > 0 {
		s.after(u.crashAt, s.crash)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > s.load.span+20*time.Second {
			break
		}
		s.now = e.at
		e.do()
	}
	return s.result
}

func (s *simulation) arrivals(rate float64, dossier bool) {
	if s.now > s.load.span {
		return
	}
	s.after(time.Duration(s.rand.ExpFloat64()/(rate*s.load.uneven.burst(s.now))*float64(time.Second)), func() {
		s.arrive(dossier)
		s.arrivals(rate, dossier)
	})
}

// report sends the gateway's work to the lease holder and returns that of the others to it, periodically.
func (s *simulation) report(g int) {
	own := map[string]serverWork{}
	gw := s.gateways[g]
	gw.work.EachActive(func(server string, requests, tokens int) {
		own[server] = serverWork{requests: requests, promptTokens: tokens}
	})
	s.reports[g] = own
	p := &Placement{PeerTokens: map[string]int{}, PeerRequests: map[string]int{}, Holdings: map[string]Holding{}, Daemons: s.load.gateways}
	for other, list := range s.reports {
		if other == g {
			continue
		}
		for server, w := range list {
			p.PeerTokens[server] += w.promptTokens
			p.PeerRequests[server] += w.requests
		}
	}
	at := s.clock()
	news := s.exchangeNews(g)
	s.after(s.load.uneven.delay(), func() {
		for _, n := range news {
			listed := gw.view.Servers[n.Server]
			gw.work.speeds.Hear(speedKey(&listed), n.Slowness, n.At, s.clock())
		}
		gw.view.Placement, gw.view.PlacementAt, gw.view.ServersAt = p, at, at
	})
	s.after(simReportPeriod, func() { s.report(g) })
}

// logNormal draws a size with the given mean and spread (sigma), at most most+1.
func (s *simulation) logNormal(mean, spread, most float64) int {
	return int(min(mean*math.Exp(spread*s.rand.NormFloat64()-spread*spread/2), most)) + 1
}

func (s *simulation) newRequest(dossier bool) *simRequest {
	id := fmt.Sprint("id", s.seq)
	meta := RequestMeta{RequestID: id, Model: "m"}
	// The size of a shared part must be the same in all requests, so it is drawn with the part's number as seed.
	part := func(kind string, n int, mean, spread, most float64) PromptPart {
		own := rand.New(rand.NewPCG(uint64(n), uint64(len(kind))))
		return PromptPart{ID: fmt.Sprint(kind, n), Tokens: int(min(mean*math.Exp(spread*own.NormFloat64()-spread*spread/2), most)) + 1}
	}
	r := &simRequest{dossier: dossier, at: s.now}
	if dossier {
		subject := s.rand.IntN(101)
		meta.Prompt = []PromptPart{part("form", subject%3, 2520, 0.4, 6290), part("subject", subject, 3780, 0.7, 11300),
			{ID: id, Tokens: s.logNormal(2890, 1, 39600)}}
		r.output = s.logNormal(52, 1.4, 208)
	} else {
		subject := s.rand.IntN(52)
		meta.Prompt = []PromptPart{part("tone", subject%3, 119, 0.4, 298), part("product", subject, 79, 0.7, 238),
			{ID: id, Tokens: s.logNormal(628, 1, 3310)}}
		r.output = s.logNormal(290, 0.69, 805)
		if s.rand.Float64() < s.load.adapterShare {
			meta.Adapter = fmt.Sprint("a", s.rand.IntN(s.load.adapters))
		}
	}
	for _, p := range meta.Prompt {
		meta.PromptTokens += p.Tokens
	}
	meta.ExpectedOutputTokens = r.output
	target := time.Second
	if !dossier {
		target = 2 * time.Second
	}
	r.job = &job{meta: meta, tried: map[string]bool{}, arrived: s.clock(),
		route:   &fleet.Route{Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2, TargetLatency: target, MaxPause: simLatePause},
		service: fleet.Service{Name: "llm", Engine: &fleet.Engine{CacheTokens: simCacheTokens}}}
	r.job.chain = prefixChain(&r.job.meta)
	return r
}

func (s *simulation) arrive(dossier bool) {
	r := s.newRequest(dossier)
	r.gateway = s.rand.IntN(len(s.gateways))
	s.send(r)
}

// send makes the gateway of a request choose a runner for it.
func (s *simulation) send(r *simRequest) {
	gw := s.gateways[r.gateway]
	c, ok := gw.chooser.choose(r.job, gw.view, gw.work, s.clock())
	if !ok {
		panic("no runner chosen for request " + r.job.meta.RequestID)
	}
	r.prefill, r.choice, r.sentAt = c.prefill, c, s.now
	s.result.byRunner[c.server.ID]++
	gw.work.BeginAttempt(c.server.ID, r.prefill)
	gw.work.RecordPrompt(c.server.ID, r.job.chain, simCacheTokens)
	runner := s.runners[c.server.ID]
	hop := simHopDelay
	if runner.region != gw.chooser.region {
		hop = simRegionHopDelay
		s.result.crossRegion++
	}
	s.after(hop, func() { s.accept(runner, r) })
}
