package gateway

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/routing"
)

// The simulation plays entry hosts and the runners of one busy model without network or processes. Runners process
// prompts in chunks between the tokens of their streams, as the users' sheets describe their engines; entry hosts see
// the work of each other as late as they do through the holder of the lease.

const (
	simChunk        = 4096
	simStep         = 5470 * time.Microsecond
	simStepPerSlot  = 12 * time.Microsecond
	simTokensPerMs  = 38.7
	simPairsPerM    = 0.737 // ms for each million pairs of a prompt token and a token before it
	simEventTokens  = 5
	simHop          = 3 * time.Millisecond
	simRegionHop    = 20 * time.Millisecond
	simCacheTokens  = 197200
	simLatePause    = 600 * time.Millisecond
	simReportPeriod = 62 * time.Millisecond
)

// simLoad is the load of one busy model.
type simLoad struct {
	gateways, runners int
	// dossiers and questions arrive per second; a share of the questions names an adapter.
	dossiers, questions float64
	adapters            int
	adapterShare        float64
	span                time.Duration
}

// simResult tells what callers saw.
type simResult struct {
	dossiers, questions         int
	lateDossiers, lateQuestions int
	// crossed counts the requests that were sent to another region.
	crossed int
}

type simRequest struct {
	job     *job
	dossier bool
	gateway int
	at      time.Duration
	prefill int // what the gateway predicted
	left    int // prompt tokens still to be processed
	done    int // prompt tokens before those
	output  int
	made    int
	lastAt  time.Duration
	firstAt time.Duration
	paused  bool
}

type simRunner struct {
	id       string
	region   string
	queue    []*simRequest
	running  []*simRequest
	cache    *prefixCache
	stepping bool
	// prefilled holds the prompt tokens that the step in progress processes.
	prefilled map[*simRequest]int
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
	// reports is the newest work that the holder knows of each gateway.
	reports []map[string]serverWork
	result  simResult
}

func newSimulation(load simLoad, seed uint64) *simulation {
	s := &simulation{load: load, rand: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(9000, 0), runners: map[string]*simRunner{}}
	regions := map[string]string{"z0": "r0", "z1": "r1", "z2": "r2"}
	servers, byService := map[string]fleet.Server{}, map[string][]string{}
	for i := range load.runners {
		id := fmt.Sprintf("runner-%02d", i)
		held := fleet.HeldModel{Name: "m"}
		for a := i; a < load.adapters; a += load.runners {
			held.Adapters = append(held.Adapters, fmt.Sprint("a", a))
		}
		servers[id] = fleet.Server{ID: id, Service: "llm", FailureDomain: fmt.Sprint("z", i%3), BornMillis: 1, Models: []fleet.HeldModel{held}}
		byService["llm"] = append(byService["llm"], id)
		s.runners[id] = &simRunner{id: id, region: fmt.Sprint("r", i%3), cache: newPrefixCache(simCacheTokens)}
	}
	for g := range load.gateways {
		view := &View{Servers: servers, ByService: byService, Listed: true, ServersAt: s.start}
		s.gateways = append(s.gateways, &simGateway{chooser: newChooser(fmt.Sprint("r", g%3), regions), work: NewTracker(), view: view})
		s.reports = append(s.reports, nil)
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
	s.after(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		s.arrive(dossier)
		s.arrivals(rate, dossier)
	})
}

// report exchanges work with the holder.
func (s *simulation) report(g int) {
	own := map[string]serverWork{}
	gw := s.gateways[g]
	gw.work.Each(func(server string, requests, tokens int) {
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
	gw.view.Placement, gw.view.PlacementAt, gw.view.ServersAt = p, s.clock(), s.clock()
	s.after(simReportPeriod, func() { s.report(g) })
}

// logNormal draws a size with the given mean and spread.
func (s *simulation) logNormal(mean, spread, most float64) int {
	return int(min(mean*math.Exp(spread*s.rand.NormFloat64()-spread*spread/2), most)) + 1
}

func (s *simulation) draw(dossier bool) *simRequest {
	id := fmt.Sprint("id", s.seq)
	meta := Meta{RequestID: id, Model: "m"}
	// The sizes of shared parts belong to the parts, so they are drawn from the part's number.
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
	r := s.draw(dossier)
	r.gateway = s.rand.IntN(len(s.gateways))
	gw := s.gateways[r.gateway]
	c, ok := gw.chooser.choose(r.job, gw.view, gw.work, s.clock())
	if !ok {
		panic("no runner")
	}
	r.prefill = c.prefill
	gw.work.Begin(c.server.ID, r.prefill)
	gw.work.Remember(c.server.ID, r.job.chain, simCacheTokens)
	runner := s.runners[c.server.ID]
	hop := simHop
	if runner.region != gw.chooser.region {
		hop = simRegionHop
		s.result.crossed++
	}
	s.after(hop, func() { s.accept(runner, r) })
}

func (s *simulation) accept(runner *simRunner, r *simRequest) {
	r.done = runner.cache.match(r.job.chain)
	r.left = r.job.meta.PromptTokens - r.done
	runner.cache.add(r.job.chain)
	runner.queue = append(runner.queue, r)
	if !runner.stepping {
		s.step(runner)
	}
}

// step runs one step of a runner: a token for each stream and a chunk of the prompts in their order.
func (s *simulation) step(runner *simRunner) {
	if len(runner.queue) == 0 && len(runner.running) == 0 {
		runner.stepping = false
		return
	}
	runner.stepping = true
	budget := simChunk - len(runner.running)
	ms := simStep.Seconds()*1000 + float64(len(runner.running))*simStepPerSlot.Seconds()*1000
	runner.prefilled = map[*simRequest]int{}
	for _, r := range runner.queue {
		n := min(budget, r.left)
		if n == 0 {
			break
		}
		budget -= n
		runner.prefilled[r] = n
		ms += float64(n)/simTokensPerMs + simPairsPerM*float64(n)*float64(r.done+n/2)/1e6
	}
	s.after(time.Duration(ms*float64(time.Millisecond)), func() { s.stepped(runner) })
}

func (s *simulation) stepped(runner *simRunner) {
	streams := runner.running[:0]
	for _, r := range runner.running {
		if !s.token(runner, r) {
			streams = append(streams, r)
		}
	}
	runner.running = streams
	for len(runner.queue) > 0 {
		r := runner.queue[0]
		n := runner.prefilled[r]
		r.left -= n
		r.done += n
		if r.left > 0 {
			break
		}
		runner.queue = runner.queue[1:]
		if !s.token(runner, r) {
			runner.running = append(runner.running, r)
		}
	}
	s.step(runner)
}

// token makes one token of a stream and reports whether it was the last.
func (s *simulation) token(runner *simRunner, r *simRequest) bool {
	work := s.gateways[r.gateway].work
	r.made++
	last := r.made >= r.output
	if r.made%simEventTokens == 1 || last {
		if r.made == 1 {
			r.firstAt = s.now
			work.FirstToken(runner.id, r.prefill)
		} else if s.now-r.lastAt > simLatePause {
			r.paused = true
		}
		r.lastAt = s.now
	}
	if last {
		work.End(runner.id, 0)
		s.finished(r)
	}
	return last
}

func (s *simulation) finished(r *simRequest) {
	late := r.paused || r.firstAt-r.at > r.job.route.TargetLatency
	if r.dossier {
		s.result.dossiers++
		if late {
			s.result.lateDossiers++
		}
		return
	}
	s.result.questions++
	if late {
		s.result.lateQuestions++
	}
}

// shares are the parts of all requests of a kind.
type shares struct{ lateDossiers, lateQuestions, crossed float64 }

// play plays a load with several seeds.
func play(load simLoad, scorers []routing.Scorer) shares {
	var sum simResult
	for seed := range uint64(simSeeds) {
		s := newSimulation(load, seed)
		for _, g := range s.gateways {
			g.chooser.models.Scorers = scorers
		}
		r := s.run()
		sum.dossiers += r.dossiers
		sum.questions += r.questions
		sum.lateDossiers += r.lateDossiers
		sum.lateQuestions += r.lateQuestions
		sum.crossed += r.crossed
	}
	return shares{
		lateDossiers:  float64(sum.lateDossiers) / float64(sum.dossiers),
		lateQuestions: float64(sum.lateQuestions) / float64(sum.questions),
		crossed:       float64(sum.crossed) / float64(sum.dossiers+sum.questions),
	}
}

// without returns the scorers but those of the given type, or fails when there is none.
func without[S routing.Scorer](t *testing.T, all []routing.Scorer) []routing.Scorer {
	t.Helper()
	left := slices.DeleteFunc(slices.Clone(all), func(s routing.Scorer) bool { _, ok := s.(S); return ok })
	if len(left) == len(all) {
		t.Fatal("the policy lacks the scorer that the test leaves out")
	}
	return left
}

func busyModel() []simLoad {
	return []simLoad{
		{gateways: 31, runners: 10, dossiers: 30, questions: 35, adapters: 80, adapterShare: 0.5, span: 20 * time.Second},
		{gateways: 5, runners: 6, dossiers: 14, questions: 18, adapters: 40, adapterShare: 0.5, span: 20 * time.Second},
	}
}

// simSeeds is the number of seeds that a comparison plays; single ones differ by several points.
const simSeeds = 4

// Load pattern: one busy model at many entry hosts, long dossiers beside questions with long answers. Guards against
// prompts that are sent to runners with many streams, whose answers then pause: rating by the first token alone counts
// only the wait of the new request.
func TestBacklogCostKeepsStreamsFromPausing(t *testing.T) {
	for _, load := range busyModel() {
		all := newChooser("", nil).models.Scorers
		before, after := play(load, without[routing.BacklogScorer](t, all)), play(load, all)
		t.Logf("%d entry hosts, %d runners: %+v without, %+v with the cost", load.gateways, load.runners, before, after)
		if after.lateQuestions >= before.lateQuestions || after.lateDossiers > before.lateDossiers+0.01 {
			t.Errorf("%+v: the backlog cost does not help", load)
		}
	}
}

// Load pattern: one busy model with holders in all regions. Guards against prompts and streams that cross regions for a
// gain that callers do not notice, and against a cost of regions that makes answers late.
func TestRegionsKeepTheirTraffic(t *testing.T) {
	for _, load := range busyModel() {
		all := newChooser("", nil).models.Scorers
		low := append(without[routing.RegionCostScorer](t, all), routing.RegionCostScorer{Cost: regionCost})
		before, after := play(load, low), play(load, all)
		t.Logf("%d entry hosts, %d runners: %+v at the round trip, %+v at the cost for models", load.gateways, load.runners, before, after)
		if after.crossed >= before.crossed || after.lateQuestions > before.lateQuestions+0.01 || after.lateDossiers > before.lateDossiers+0.01 {
			t.Errorf("%+v: the cost of regions does not help", load)
		}
	}
}
