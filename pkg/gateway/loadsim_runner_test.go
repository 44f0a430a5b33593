package gateway

import "time"

// simRunner is a simulated runner: it processes queued prompts in chunks and decodes the running streams in steps.
type simRunner struct {
	id       string
	number   int
	region   string
	queue    []*simRequest
	running  []*simRequest
	cache    *prefixCache
	stepping bool
	// prefilled holds the number of prompt tokens of each request that the current step processes.
	prefilled map[*simRequest]int
}

func (s *simulation) accept(runner *simRunner, r *simRequest) {
	r.promptDone = runner.cache.match(r.job.chain)
	r.promptLeft = r.job.meta.PromptTokens - r.promptDone
	runner.cache.add(r.job.chain)
	runner.queue = append(runner.queue, r)
	if !runner.stepping {
		s.startStep(runner)
	}
}

// startStep starts one step of a runner: a token for each stream and a chunk of the prompts in their order.
func (s *simulation) startStep(runner *simRunner) {
	if len(runner.queue) == 0 && len(runner.running) == 0 {
		runner.stepping = false
		return
	}
	runner.stepping = true
	budget := simChunkTokens - len(runner.running)
	ms := simStep.Seconds()*1000 + float64(len(runner.running))*simStepPerSlot.Seconds()*1000
	runner.prefilled = map[*simRequest]int{}
	for _, r := range runner.queue {
		n := min(budget, r.promptLeft)
		if n == 0 {
			break
		}
		budget -= n
		runner.prefilled[r] = n
		ms += float64(n)/simTokensPerMs + simMsPerMillionPairs*float64(n)*float64(r.promptDone+n/2)/1e6
	}
	ms *= s.load.uneven.slowness(runner.number, s.now)
	s.after(time.Duration(ms*float64(time.Millisecond)), func() { s.finishStep(runner) })
}

func (s *simulation) finishStep(runner *simRunner) {
	if len(runner.running) == 0 && len(runner.queue) == 0 {
		runner.stepping = false
		return
	}
	streams := runner.running[:0]
	for _, r := range runner.running {
		if !s.emitToken(runner, r) {
			streams = append(streams, r)
		}
	}
	runner.running = streams
	for len(runner.queue) > 0 {
		r := runner.queue[0]
		n := runner.prefilled[r]
		r.promptLeft -= n
		r.promptDone += n
		if r.promptLeft > 0 {
			break
		}
		runner.queue = runner.queue[1:]
		if !s.emitToken(runner, r) {
			runner.running = append(runner.running, r)
		}
	}
	s.startStep(runner)
}

// emitToken emits one token of a stream and reports whether it was the last.
func (s *simulation) emitToken(runner *simRunner, r *simRequest) bool {
	work := s.gateways[r.gateway].work
	r.tokensMade++
	last := r.tokensMade >= r.output
	if r.tokensMade%simTokensPerEvent == 1 || last {
		if r.tokensMade == 1 {
			r.firstAt = s.now
			work.RecordFirstToken(runner.id, r.prefill)
			s.tell(runner, r)
		} else if s.now-r.lastAt > simLatePause {
			r.paused = true
		}
		r.lastAt = s.now
	}
	if last {
		work.EndAttempt(runner.id, 0)
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
