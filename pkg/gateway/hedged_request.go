package gateway

import (
	"context"
	"fmt"
	"maps"
	"runtime/debug"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
)

// errAnsweredElsewhere is the cancellation cause of an attempt whose request another server has answered.
var errAnsweredElsewhere error = failure.New(failure.ClientCancelled, failure.Unknown, "another server answered the request first")

// hedged reports whether the request may be in progress at several servers. Its response must be buffered, because
// events of two servers can't be joined. Model runners are left out: there, a request must not go on at one runner while
// another one works on it.
func (j *job) hedged() bool {
	return j.route.Retryable() && j.bufferResponse() && j.service.Engine == nil
}

// hedgedRequest runs the attempts of one request. When a server is silent, another one gets the request as well, because
// the silent one may still answer and the other one may refuse. The first complete response is the answer. It belongs to
// the goroutine that serves the request; only ended is shared with those of the attempts.
type hedgedRequest struct {
	f     *Forwarder
	ctx   context.Context
	j     *job
	p     *progress
	hedge hedge
	// attempts holds all attempts by their numbers.
	attempts []*hedgedAttempt
	ended    chan *hedgedAttempt
	// silence fires when the newest attempt counts as silent or is looked at again.
	silence *time.Timer
	// recheck is the time until the next look at the present silence; 0 before the first look.
	recheck time.Duration
}

// hedgedAttempt is one attempt of a hedgedRequest.
type hedgedAttempt struct {
	number  int
	choice  choice
	began   time.Time
	attempt *attempt
	// suspected is set once its server was recorded as silent.
	suspected bool
	// result and panicked are set before the attempt is sent to ended.
	result   attemptResult
	panicked any
}

// runHedged sends the request to the chosen server, and to another one while that is silent. It returns the response
// that is the answer or the last failure, and sets c to its server. Failures before it are recorded in p.
func (f *Forwarder) runHedged(ctx context.Context, j *job, c *choice, p *progress) attemptResult {
	s := &hedgedRequest{f: f, ctx: ctx, j: j, p: p, hedge: hedge{maxAttempts: j.route.MaxAttempts},
		ended: make(chan *hedgedAttempt), silence: stoppedTimer()}
	defer s.silence.Stop()
	s.start(c)
	for {
		select {
		case <-s.silence.C:
			s.lookForAnother()
		case a := <-s.ended:
			if s.finished(a) {
				*c = a.choice
				return a.result
			}
		}
	}
}

// stoppedTimer returns a timer that fires only once it is reset.
func stoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// start sends the request to a server.
func (s *hedgedRequest) start(c *choice) {
	// The attempt streams nothing and is not watched.
	relay := &streamRelay{}
	a := &hedgedAttempt{number: len(s.attempts), choice: *c, began: time.Now()}
	a.attempt = s.f.newAttempt(s.ctx, s.j, &a.choice, relay)
	s.attempts = append(s.attempts, a)
	s.hedge.begin(a.number)
	s.recheck = 0
	s.silence.Stop()
	if limit := responseLimit(s.j, c); limit > 0 {
		s.silence.Reset(limit)
	}
	go func() {
		defer func() {
			// net/http ends only the request when its own goroutine panics; a panic here would end the process.
			if cause := recover(); cause != nil {
				a.panicked = fmt.Sprintf("%v\n%s", cause, debug.Stack())
			}
			s.ended <- a
		}()
		defer a.attempt.end()
		a.attempt.open()
		a.result = a.attempt.read(relay, unwatched())
	}()
}

// lookForAnother sends the request to another server because the newest one is silent, if there is a server that can take
// it and the retry budget pays for it.
func (s *hedgedRequest) lookForAnother() {
	if s.ctx.Err() != nil {
		return
	}
	silent := s.attempts[s.hedge.running[len(s.hedge.running)-1]]
	now := time.Now()
	next := s.another(silent, silence{length: now.Sub(silent.began), repeated: s.recheck > 0})
	if next == nil {
		s.recheck = max(silenceRecheck, 2*s.recheck)
		s.silence.Reset(s.recheck)
		return
	}
	// A response clears the suspicion again.
	if !silent.suspected && s.f.backend.tracker.RecordFailure(silent.choice.server.ID, now) {
		s.f.log.Log(eventlog.ServerSuspected, "server", silent.choice.server.ID, "silent", now.Sub(silent.began), "report_age", silent.choice.reportAge)
	}
	silent.suspected = true
	s.start(next)
}

// another returns the server that gets the request beside those in progress; nil if none may. All in progress count as
// sent, and none of them gets the request again.
func (s *hedgedRequest) another(silent *hedgedAttempt, how silence) *choice {
	if !s.hedge.mayAdd(s.p.sent, s.p.refused, s.p.unreached) {
		if !how.repeated {
			s.f.logSilence(s.j, &silent.choice, "", obstacleAttempts, how)
		}
		return nil
	}
	j, p := *s.j, *s.p
	j.tried = maps.Clone(s.j.tried)
	for _, n := range s.hedge.running {
		j.tried[s.attempts[n].choice.server.ID] = true
	}
	p.sent += len(s.hedge.running) - 1
	return s.f.takeOver(&j, &silent.choice, &p, how)
}

// finished records the end of an attempt and reports whether its result is that of the request. All attempts have ended
// then.
func (s *hedgedRequest) finished(a *hedgedAttempt) bool {
	s.p.keep(a.result.response)
	if a.panicked != nil {
		s.hedge.end(a.number, nil)
		s.cancelOthers()
		panic(a.panicked)
	}
	switch s.hedge.end(a.number, a.result.fail) {
	case hedgeAnswer:
		a.result.superseded = s.cancelOthers()
		return true
	case hedgeOver:
		return true
	case hedgeReplace:
		s.recordFailure(a)
		s.silence.Reset(0)
	case hedgeWait:
		s.recordFailure(a)
	}
	return false
}

// recordFailure records a failed attempt while others are in progress.
func (s *hedgedRequest) recordFailure(a *hedgedAttempt) {
	s.f.returnRepeat(s.j, a.result.fail)
	s.p.record(a.choice.server.ID, a.result)
	s.p.recordTried(s.j, &a.choice, a.result.fail)
	s.f.logAttempt(s.j, &a.choice, s.p, &a.result)
}

// cancelOthers ends the attempts in progress and returns their servers. It waits for them, so that none outlasts the
// request; a cancelled attempt ends at once.
func (s *hedgedRequest) cancelOthers() []string {
	var servers []string
	for _, n := range s.hedge.running {
		s.attempts[n].attempt.cancel(errAnsweredElsewhere)
	}
	for range s.hedge.running {
		a := <-s.ended
		s.p.keep(a.result.response)
		if a.result.fail == nil || a.result.fail.Outcome != failure.NotRun {
			s.p.sent++
		}
		servers = append(servers, a.choice.server.ID)
	}
	s.hedge.running = nil
	return servers
}
