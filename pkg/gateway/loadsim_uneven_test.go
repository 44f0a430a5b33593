package gateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/serverspeed"
)

// simUneven is how the runners of a simulation differ.
type simUneven struct {
	// speeds are the slownesses of the runners in turn.
	speeds []float64
	// noise makes 15% of the runners take 2.5 times as long, drawn anew each simNoisePeriod.
	noise bool
	// silent is set if runners state nothing and the daemons do not look at their answers: the choice without speeds.
	silent bool
	// alone is set if the daemons do not tell each other what runners state.
	alone bool
	// liar is the number of a runner that states liarStates whatever it takes; 0 for none.
	liar       int
	liarStates float64
	// newsDelay is how late statements and reports arrive.
	newsDelay time.Duration
	// turn is the number of a runner whose slowness becomes turnTo at turnAt; 0 for none.
	turn   int
	turnAt time.Duration
	turnTo float64
	// crashed is the number of runners that end at crashAt for good; their requests are sent again.
	crashed int
	crashAt time.Duration
	// burstAt and burstFor are when burstTimes the usual questions and dossiers arrive.
	burstAt, burstFor time.Duration
	burstTimes        float64
}

const simNoisePeriod = 600 * time.Millisecond

// slowness returns how slow a runner is at a moment.
func (u *simUneven) slowness(n int, now time.Duration) float64 {
	if u == nil {
		return 1
	}
	slow := u.speeds[n%len(u.speeds)]
	if u.turn != 0 && n == u.turn && now >= u.turnAt {
		slow = u.turnTo
	}
	if u.noise && rand.New(rand.NewPCG(uint64(n), uint64(now/simNoisePeriod))).Float64() < 0.15 {
		slow *= 2.5
	}
	return slow
}

func (u *simUneven) delay() time.Duration {
	if u == nil {
		return 0
	}
	return u.newsDelay
}

// burst returns the multiple of the usual rate at which requests arrive.
func (u *simUneven) burst(now time.Duration) float64 {
	if u == nil || u.burstFor == 0 || now < u.burstAt || now >= u.burstAt+u.burstFor {
		return 1
	}
	return u.burstTimes
}

// crash ends the first runners. The daemons hear of it at once and send the requests there again.
func (s *simulation) crash() {
	var lost []*simRequest
	for n := range s.load.uneven.crashed {
		runner := s.runners[fmt.Sprintf("runner-%02d", n)]
		lost = append(append(lost, runner.queue...), runner.running...)
		runner.queue, runner.running = nil, nil
		for _, gw := range s.gateways {
			gw.view.Servers, gw.view.ByService = maps.Clone(gw.view.Servers), maps.Clone(gw.view.ByService)
			delete(gw.view.Servers, runner.id)
			gw.view.ByService["llm"] = slices.DeleteFunc(slices.Clone(gw.view.ByService["llm"]), func(id string) bool { return id == runner.id })
		}
	}
	for _, r := range lost {
		gw := s.gateways[r.gateway]
		tokens := r.prefill
		if r.firstAt > 0 {
			tokens = 0
		}
		gw.work.EndAttempt(r.choice.server.ID, tokens)
		r.tokensMade, r.firstAt = 0, 0
		s.send(r)
	}
}

// tell makes the daemon of a request hear what the runner states in the head of its response, and see how long it took.
func (s *simulation) tell(runner *simRunner, r *simRequest) {
	u := s.load.uneven
	if u == nil || u.silent {
		return
	}
	states := u.slowness(runner.number, s.now)
	if u.liar != 0 && runner.number == u.liar {
		states = u.liarStates
	}
	load := Load{Known: true, Running: len(runner.running), Waiting: len(runner.queue), Slowness: states}
	gw, took := s.gateways[r.gateway], s.now-r.sentAt
	s.after(simHopDelay+u.newsDelay, func() {
		b := &backend{tracker: gw.work, log: eventlog.Discard()}
		b.recordStatement(&r.choice.server, load, "", s.clock())
		b.recordFirstEvent(r.job, &r.choice, took, s.clock())
	})
}

// exchangeNews gives the holder what a daemon heard of runners, and returns what others heard since its last report.
func (s *simulation) exchangeNews(g int) []serverspeed.Statement {
	now := s.clock()
	for _, n := range s.gateways[g].work.speeds.TakeNews() {
		if runner, ok := s.runners[n.Server]; ok {
			s.exchange.Record(uint32(runner.number), n.Slowness, n.At, now)
		}
	}
	var news []serverspeed.Statement
	s.exchange.News(s.reported[g], now, func(index uint32, slowness float64, at time.Time) {
		news = append(news, serverspeed.Statement{Server: fmt.Sprintf("runner-%02d", index), Slowness: slowness, At: at})
	})
	s.reported[g] = now
	if u := s.load.uneven; u == nil || u.alone {
		return nil
	}
	return news
}
