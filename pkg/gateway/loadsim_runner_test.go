package gateway

import "time"

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
