package gateway

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// The simulation models entry hosts and the servers of one model on which long and short prompts meet, in virtual time and
// without a network. Servers process prompts in chunks between the tokens of their streams; entry hosts learn of each
// other's requests with a delay.

// mixKind is one kind of request of a mixed load, as the users' data sheets state them.
type mixKind struct {
	name string
	// rate is in requests per second over all entry hosts.
	rate float64
	// shared and own are mean prompt tokens; shared parts are those of one of subjects subjects.
	shared, own float64
	subjects    int
	output      float64
	target      time.Duration
	maxPause    time.Duration
}

// mixLoad is a load of long and short prompts on the servers of one model.
type mixLoad struct {
	name     string
	gateways int
	// slowness holds, for each server, the time that its work takes relative to the usual.
	slowness []float64
	kinds    []mixKind
	span     time.Duration
	// viewAge is the age of what entry hosts know of each other's requests.
	viewAge time.Duration
	// noise is the share of time in which a server is 2.5 times slower, in spells of 600 ms.
	noise float64
	// lost is the index of a server that takes no requests after half of the span; -1 for none.
	lost int
	// burst is added to the rate of the first kind in the third quarter of the span, as a factor.
	burst float64
}

// mixResult holds what one kind of request got.
type mixResult struct {
	requests, late, lateFirst, latePause int
	first                                []time.Duration
}

func (r *mixResult) share() float64 { return float64(r.late) / float64(max(r.requests, 1)) }

const (
	mixChunkTokens    = 2048
	mixStepMs         = 5.3
	mixStepPerSlotMs  = 0.023
	mixTokensPerMs    = 31.7
	mixTokensPerEvent = 6
	mixCacheTokens    = 177000
)

type mixRequest struct {
	simRequest
	kind     int
	maxPause time.Duration
}

type mixServer struct {
	id        string
	slowness  float64
	queue     []*mixRequest
	running   []*mixRequest
	cache     *prefixCache
	stepping  bool
	prefilled map[*mixRequest]int
	noisyTill time.Duration
	quietTill time.Duration
	lost      bool
}

type mixSimulation struct {
	load     mixLoad
	rand     *rand.Rand
	start    time.Time
	now      time.Duration
	events   simQueue
	seq      int
	servers  map[string]*mixServer
	gateways []*simGateway
	sums     []map[string]serverWork
	results  []mixResult
}

func newMixSimulation(load mixLoad, seed uint64) *mixSimulation {
	s := &mixSimulation{load: load, rand: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(9000, 0), servers: map[string]*mixServer{}, results: make([]mixResult, len(load.kinds))}
	servers, byService := map[string]fleet.Server{}, map[string][]string{}
	for i, slow := range load.slowness {
		id := fmt.Sprintf("server-%02d", i)
		servers[id] = fleet.Server{ID: id, Service: "llm", FailureDomain: "z0", StartMillis: 1, Models: []fleet.ResidentModel{{Name: "m"}}}
		byService["llm"] = append(byService["llm"], id)
		s.servers[id] = &mixServer{id: id, slowness: slow, cache: newPrefixCache(mixCacheTokens)}
	}
	for range load.gateways {
		view := &View{Servers: servers, ByService: byService, ServersKnown: true, ServersAt: s.start}
		gw := &simGateway{chooser: newChooser("r0", map[string]string{"z0": "r0"}), work: NewTracker(), view: view}
		s.gateways = append(s.gateways, gw)
	}
	s.exchange()
	if load.lost >= 0 && load.lost < len(load.slowness) {
		s.after(load.span/2, func() { s.lose(fmt.Sprintf("server-%02d", load.lost)) })
	}
	return s
}

func (s *mixSimulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now + d, seq: s.seq, do: do})
}

func (s *mixSimulation) clock() time.Time { return s.start.Add(s.now) }

// lose ends a server: the entry hosts send it nothing more, and what it had begun does not count.
func (s *mixSimulation) lose(id string) {
	s.servers[id].lost = true
	for _, gw := range s.gateways {
		gw.view.ByService = map[string][]string{"llm": slices.DeleteFunc(slices.Clone(gw.view.ByService["llm"]), func(other string) bool { return other == id })}
	}
}

// exchange gives each entry host the others' work as of the call before, which is viewAge old when the next one follows.
func (s *mixSimulation) exchange() {
	before := s.sums
	s.sums = make([]map[string]serverWork, len(s.gateways))
	total := map[string]serverWork{}
	for g, gw := range s.gateways {
		own := map[string]serverWork{}
		gw.work.EachActive(func(server string, requests, tokens int) {
			own[server] = serverWork{requests: requests, promptTokens: tokens}
		})
		s.sums[g] = own
	}
	for _, own := range before {
		for id, w := range own {
			t := total[id]
			total[id] = serverWork{requests: t.requests + w.requests, promptTokens: t.promptTokens + w.promptTokens}
		}
	}
	for g, gw := range s.gateways {
		p := &Placement{PeerTokens: map[string]int{}, PeerRequests: map[string]int{}, Holdings: map[string]Holding{}, Daemons: s.load.gateways}
		for id, t := range total {
			own := before[g][id]
			p.PeerTokens[id], p.PeerRequests[id] = t.promptTokens-own.promptTokens, t.requests-own.requests
		}
		gw.view.Placement, gw.view.PlacementAt, gw.view.ServersAt = p, s.clock(), s.clock()
	}
	// The work told is viewAge/2 old when it is learned, and the next follows viewAge/2 later.
	s.after(max(s.load.viewAge/2, time.Millisecond), s.exchange)
}

func (s *mixSimulation) run() []mixResult {
	for k := range s.load.kinds {
		s.arrivals(k)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > s.load.span+15*time.Second {
			break
		}
		s.now = e.at
		e.do()
	}
	return s.results
}

func (s *mixSimulation) arrivals(k int) {
	kind := s.load.kinds[k]
	if s.now > s.load.span || kind.rate <= 0 {
		return
	}
	rate := kind.rate
	if q := float64(s.now) / float64(s.load.span); k == 0 && s.load.burst > 0 && q > 0.5 && q < 0.75 {
		rate *= s.load.burst
	}
	s.after(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		s.arrive(k)
		s.arrivals(k)
	})
}

func (s *mixSimulation) size(mean, spread, most float64) int {
	return int(min(mean*math.Exp(spread*s.rand.NormFloat64()-spread*spread/2), most)) + 1
}

func (s *mixSimulation) arrive(k int) {
	kind := s.load.kinds[k]
	id := fmt.Sprint(kind.name, s.seq)
	meta := RequestMeta{RequestID: id, Model: "m"}
	subject := 0
	if kind.subjects > 0 {
		subject = int(float64(kind.subjects) * math.Pow(s.rand.Float64(), 2))
		own := rand.New(rand.NewPCG(uint64(subject), uint64(k)))
		meta.Prompt = append(meta.Prompt,
			PromptPart{ID: fmt.Sprint(kind.name, "form", subject%3), Tokens: int(kind.shared*0.4) + 1},
			PromptPart{ID: fmt.Sprint(kind.name, "subject", subject), Tokens: int(kind.shared*0.6*math.Exp(0.7*own.NormFloat64()-0.245)) + 1})
	}
	part := PromptPart{ID: id, Tokens: s.size(kind.own, 1, kind.own*13)}
	meta.Prompt = append(meta.Prompt, part)
	for _, p := range meta.Prompt {
		meta.PromptTokens += p.Tokens
	}
	r := &mixRequest{kind: k, maxPause: kind.maxPause}
	r.output = s.size(kind.output, 0.8, kind.output*3)
	r.at = s.now
	r.gateway = s.rand.IntN(len(s.gateways))
	r.job = &job{meta: meta, tried: map[string]bool{}, arrived: s.clock(),
		route:   &fleet.Route{Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2, TargetLatency: kind.target, MaxPause: kind.maxPause},
		service: fleet.Service{Name: "llm", Engine: &fleet.Engine{CacheTokens: mixCacheTokens}}}
	r.job.chain = prefixChain(&r.job.meta)
	gw := s.gateways[r.gateway]
	c, ok := gw.chooser.choose(r.job, gw.view, gw.work, s.clock())
	if !ok {
		panic("no server chosen for request " + id)
	}
	r.prefill = c.prefill
	gw.work.BeginAttempt(c.server.ID, r.prefill)
	gw.work.RecordPrompt(c.server.ID, r.job.chain, mixCacheTokens)
	s.after(simHopDelay, func() { s.accept(s.servers[c.server.ID], r) })
}

func (s *mixSimulation) accept(server *mixServer, r *mixRequest) {
	r.promptDone = server.cache.match(r.job.chain)
	r.promptLeft = r.job.meta.PromptTokens - r.promptDone
	server.cache.add(r.job.chain)
	server.queue = append(server.queue, r)
	if !server.stepping {
		s.step(server)
	}
}

// pace returns the factor by which a step that starts now is slower than the usual.
func (s *mixSimulation) pace(server *mixServer) float64 {
	if s.load.noise <= 0 {
		return server.slowness
	}
	for s.now >= server.quietTill {
		server.noisyTill = server.quietTill + 600*time.Millisecond
		quiet := 600 * (1 - s.load.noise) / s.load.noise * s.rand.ExpFloat64()
		server.quietTill = server.noisyTill + time.Duration(quiet*float64(time.Millisecond))
	}
	if s.now < server.noisyTill {
		return server.slowness * 2.5
	}
	return server.slowness
}

func (s *mixSimulation) step(server *mixServer) {
	if server.lost || len(server.queue) == 0 && len(server.running) == 0 {
		server.stepping = false
		return
	}
	server.stepping = true
	budget := mixChunkTokens - len(server.running)
	ms := mixStepMs + float64(len(server.running))*mixStepPerSlotMs
	server.prefilled = map[*mixRequest]int{}
	for _, r := range server.queue {
		n := min(budget, r.promptLeft)
		if n == 0 {
			break
		}
		budget -= n
		server.prefilled[r] = n
		ms += float64(n)/mixTokensPerMs + simMsPerMillionPairs*float64(n)*float64(r.promptDone+n/2)/1e6
	}
	s.after(time.Duration(ms*s.pace(server)*float64(time.Millisecond)), func() { s.finish(server) })
}

func (s *mixSimulation) finish(server *mixServer) {
	var running []*mixRequest
	for _, r := range server.running {
		if !s.emit(server, r) {
			running = append(running, r)
		}
	}
	server.running = running
	var queue []*mixRequest
	for _, r := range server.queue {
		n := server.prefilled[r]
		r.promptLeft -= n
		r.promptDone += n
		if r.promptLeft > 0 {
			queue = append(queue, r)
		} else if !s.emit(server, r) {
			server.running = append(server.running, r)
		}
	}
	server.queue = queue
	s.step(server)
}

// emit makes one token of a stream and reports whether it was the last.
func (s *mixSimulation) emit(server *mixServer, r *mixRequest) bool {
	work := s.gateways[r.gateway].work
	r.tokensMade++
	last := r.tokensMade >= r.output
	if r.tokensMade%mixTokensPerEvent == 1 || last {
		if r.tokensMade == 1 {
			r.firstAt = s.now
			work.RecordFirstToken(server.id, r.prefill)
		} else if s.now-r.lastAt > r.maxPause {
			r.paused = true
		}
		r.lastAt = s.now
	}
	if last {
		work.EndAttempt(server.id, 0)
		res := &s.results[r.kind]
		res.requests++
		first := r.firstAt - r.at
		res.first = append(res.first, first)
		if first > r.job.route.TargetLatency {
			res.lateFirst++
		}
		if r.paused {
			res.latePause++
		}
		if r.paused || first > r.job.route.TargetLatency {
			res.late++
		}
	}
	return last
}

// runMix plays a load with several seeds and returns the sums by kind.
func runMix(load mixLoad, seeds int) []mixResult {
	sum := make([]mixResult, len(load.kinds))
	for seed := range uint64(seeds) {
		for k, r := range newMixSimulation(load, seed).run() {
			sum[k].requests += r.requests
			sum[k].late += r.late
			sum[k].lateFirst += r.lateFirst
			sum[k].latePause += r.latePause
			sum[k].first = append(sum[k].first, r.first...)
		}
	}
	return sum
}
