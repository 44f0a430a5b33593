package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// silenceRecheck is when a silent server is looked at again if no other one could take its request over; each further
	// look comes after twice the time, because a choice among hundreds of servers takes milliseconds.
	silenceRecheck = 250 * time.Millisecond
	// maxSharedTime is how long two model runners may work on one request by the users' rules.
	maxSharedTime = 400 * time.Millisecond
	// handoverLimit is how long an offer stays open. The rest of maxSharedTime is for the end of the other attempt, which has
	// to reach its server from a busy host.
	handoverLimit = maxSharedTime / 2
	// presumedDeadAfter is the silence after which a server is presumed dead. Sound servers may be silent for a second or so;
	// streams of the users' deployments have five seconds or more in all, and need some of that at another server.
	presumedDeadAfter = 3 * time.Second
	// presumedDeadShare is the share of the time for a request after which its silent server is presumed dead if that is
	// sooner. The rest is left for another server.
	presumedDeadShare = 0.75
	// lateResponseFactor is multiplied with the target latency: the least time after which the server of a buffered response
	// is presumed dead.
	lateResponseFactor = 2
)

// silenceWatch offers the request of an attempt to another server when its own is silent for longer than expected, and
// gives the attempt up once the other one has the request. A sound server may be silent for a while and still complete the
// response, so it keeps the request as long as no other server takes it. Once it is presumed dead, an offer that is not
// declined is enough: otherwise the request of a dead server could not move to one that needs long to begin. It is safe for
// concurrent use.
type silenceWatch struct {
	// choose returns an attempt at another server; nil for none. It is called with mu held, so that an event does not start
	// the timer again while the request is offered.
	choose func(s silence) taker
	cancel context.CancelCauseFunc
	// deadAfter is the silence after which the server is presumed dead.
	deadAfter time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// since is when the server was last heard of, due when it counts as silent.
	since time.Time
	due   time.Time
	// left is the time until due while the watch is paused, 0 while it is not. pausedAt is when it was paused.
	left     time.Duration
	pausedAt time.Time
	// begun is set once the first event has arrived.
	begun bool
	// recheck is the time until the next look at the present silence; 0 before the first look.
	recheck  time.Duration
	ended    bool
	handover handover
	// latest is the latest offer; nil before the first one.
	latest *offer
	// withdrawn waits for the attempts whose offers were withdrawn.
	withdrawn sync.WaitGroup
}

// taker is an attempt at a server that is offered a request.
type taker interface {
	// ask sends the request and reports whether the server has begun to serve it. It calls sending once, as soon as the
	// server may have the request.
	ask(sending func()) bool
	// settled records who has the request now. It is called with the watch locked, so that no choice is made meanwhile.
	settled(step handoverStep)
	// release ends the attempt after its offer was withdrawn and ask has returned.
	release()
}

// offer is a request that is offered to another server.
type offer struct {
	to taker
	// settled is closed when it is known which server has the request.
	settled   chan struct{}
	withdrawn bool
}

// silence is a time in which a server sent nothing although more of the response is due.
type silence struct {
	length time.Duration
	// begun is set if the response had begun before.
	begun bool
	// repeated is set at every look at a silence after the first.
	repeated bool
	// dead is set if the server is presumed dead by the time an offer runs out.
	dead bool
}

// newSilenceWatch starts to watch an attempt whose server has to respond within limit, 0 for no bound, and is presumed dead
// after deadAfter. cancel ends the attempt.
func newSilenceWatch(limit, deadAfter time.Duration, cancel context.CancelCauseFunc, choose func(silence) taker) *silenceWatch {
	w := &silenceWatch{choose: choose, cancel: cancel, deadAfter: deadAfter, since: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arm(limit)
	return w
}

// unwatched returns a watch that never offers its request to another server.
func unwatched() *silenceWatch { return &silenceWatch{ended: true} }

// arm starts the timer after which the server counts as silent, 0 for none; the caller holds mu.
func (w *silenceWatch) arm(limit time.Duration) {
	w.left = 0
	if limit <= 0 {
		w.due = time.Time{}
		w.halt()
		return
	}
	w.due = time.Now().Add(limit)
	if w.timer == nil {
		w.timer = time.AfterFunc(limit, w.check)
		return
	}
	w.timer.Reset(limit)
}

// halt stops the timer; the caller holds mu.
func (w *silenceWatch) halt() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// check offers the request to another server if the present one is silent.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.due.IsZero() || time.Now().Before(w.due) {
		return
	}
	length := time.Since(w.since)
	to := w.choose(silence{length: length, begun: w.begun, repeated: w.recheck > 0, dead: length >= w.deadAfter-handoverLimit})
	if to == nil {
		w.lookAgain()
		return
	}
	w.due = time.Time{}
	w.latest = &offer{to: to, settled: make(chan struct{})}
	w.handover.offer()
	go w.ask(w.latest)
}

// lookAgain sets the time of the next look at the present silence; the caller holds mu. One comes in time for an offer that
// runs out when the server is presumed dead.
func (w *silenceWatch) lookAgain() {
	w.recheck = max(silenceRecheck, 2*w.recheck)
	next := w.recheck
	if left := w.deadAfter - handoverLimit - time.Since(w.since); left > 0 {
		next = min(next, left)
	}
	w.arm(next)
}

// ask sends the request to the other server and settles the offer by its response.
func (w *silenceWatch) ask(o *offer) {
	accepted := o.to.ask(func() { time.AfterFunc(handoverLimit, func() { w.expire(o) }) })
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.withdrawn {
		o.to.release()
		w.withdrawn.Done()
		return
	}
	w.settle(o, w.handover.answer(accepted))
}

// expire settles an offer that the other server has not answered for too long.
func (w *silenceWatch) expire(o *offer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.latest == o {
		w.settle(o, w.handover.expire(time.Since(w.since) >= w.deadAfter))
	}
}

// settle carries out what follows for an offer. If the request stays with a silent server, that is looked at again. The
// caller holds mu.
func (w *silenceWatch) settle(o *offer, step handoverStep) {
	switch step {
	case handoverNone:
		return
	case handoverMove:
		w.ended = true
		w.cancel(errTakenOver)
	case handoverWithdraw:
		o.withdrawn = true
		w.withdrawn.Add(1)
	case handoverStay:
	}
	o.to.settled(step)
	close(o.settled)
	if !w.ended {
		w.lookAgain()
	}
}

// expectEvent shortens the wait to at most limit, 0 for no change: the head of a stream has arrived.
func (w *silenceWatch) expectEvent(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && !w.handover.offered && limit > 0 && (w.due.IsZero() || time.Now().Add(limit).Before(w.due)) {
		w.arm(limit)
	}
}

// recordEvent records that an event was passed on. The next one has to arrive within limit, 0 for no bound.
func (w *silenceWatch) recordEvent(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.since, w.begun, w.recheck = time.Now(), true, 0
	w.arm(limit)
}

// pause stops the clock while the caller is written to: a slow caller is no silence of the server. progress is set if more of
// the response has arrived, which waits while the request is offered. It returns false if another server has the request:
// what has arrived must not reach the caller then, because the other one sends it as well.
func (w *silenceWatch) pause(progress bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for progress && w.handover.offered {
		w.handover.spoke = true
		settled := w.latest.settled
		w.mu.Unlock()
		<-settled
		w.mu.Lock()
	}
	if w.handover.moved {
		return false
	}
	if w.ended || w.due.IsZero() {
		return true
	}
	w.left, w.pausedAt = max(time.Until(w.due), time.Millisecond), time.Now()
	w.due = time.Time{}
	w.halt()
	return true
}

// resume starts the clock again where pause stopped it.
func (w *silenceWatch) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && w.left > 0 {
		w.since = w.since.Add(time.Since(w.pausedAt))
		w.arm(w.left)
	}
}

// release ends the watch of a response that no other server can go on with.
func (w *silenceWatch) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.halt()
}

// stop ends the watch after its attempt and returns the attempt at the server that has the request now; nil for none. served
// is set if the ended attempt has served the request.
func (w *silenceWatch) stop(served bool) taker {
	next := w.end(served)
	w.withdrawn.Wait()
	return next
}

func (w *silenceWatch) end(served bool) taker {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.halt()
	w.settle(w.latest, w.handover.end(served))
	if w.handover.moved {
		return w.latest.to
	}
	return nil
}
