package gateway

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/exchange"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/verdict"
)

// attempt is a request at one server: open sends it, read reads the response, end releases it.
type attempt struct {
	f      *Forwarder
	j      *job
	choice *choice
	ctx    context.Context
	cancel context.CancelCauseFunc
	// resumed is set if the server is to go on with a stream after the event lastEvent.
	resumed   bool
	lastEvent string
	// mediaType is that of the stream to go on with.
	mediaType string

	began  time.Time
	prompt *promptWatch
	// tokens are those of the prompt that count as work at the server until the first event.
	tokens int
	// unbarred ends the wait for an entry that bars the prompt.
	unbarred func()
	// survived is set if the server has sent the whole response and goes on.
	survived bool

	// opened is closed once the fields below are set.
	opened   chan struct{}
	resp     *exchange.Response
	meta     ResponseMeta
	judged   verdict.Judgement
	fail     *failure.Failure
	panicked any
}

// newAttempt returns an attempt at a server. If the relay has sent a part of a stream, the server is to go on with it.
func (f *Forwarder) newAttempt(ctx context.Context, j *job, c *choice, relay *streamRelay) *attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{f: f, j: j, choice: c, ctx: ctx, cancel: cancel, resumed: relay.started, began: time.Now(), tokens: c.prefill,
		prompt: &promptWatch{board: f.board, id: j.meta.RequestID, parts: j.parts}, opened: make(chan struct{})}
	f.backend.tracker.BeginAttempt(c.server.ID, a.tokens)
	a.unbarred = f.board.Watch(j.parts, func() { cancel(errBarred) })
	if j.service.Engine != nil {
		f.backend.tracker.RecordPrompt(c.server.ID, j.chain, j.service.Engine.CacheTokens)
	}
	if a.resumed {
		a.lastEvent, a.mediaType = relay.lastEvent, relay.mediaType
		f.log.Log(eventlog.StreamResumed, "request", j.meta.RequestID, "server", c.server.ID, "after_event", a.lastEvent)
	}
	return a
}

// open sends the request and waits for the head of the response.
func (a *attempt) open() {
	a.send(nil)
	close(a.opened)
}

// openBeside is open on a goroutine beside that of the request: a panic is passed on in read. It calls sending before the
// first byte is sent.
func (a *attempt) openBeside(sending func()) {
	defer close(a.opened)
	defer func() {
		if cause := recover(); cause != nil {
			a.panicked = fmt.Sprintf("%v\n%s", cause, debug.Stack())
		}
	}()
	a.send(sending)
}

func (a *attempt) send(sending func()) {
	a.resp, a.meta, a.judged, a.fail = a.f.backend.send(a.ctx, a.j, a.choice, a.lastEvent, sending)
}

// read waits until the attempt is open. Then it returns the buffered response, or writes the events of the stream to the
// caller and reports them to watch.
func (a *attempt) read(relay *streamRelay, watch *silenceWatch) attemptResult {
	<-a.opened
	if a.panicked != nil {
		panic(a.panicked)
	}
	if a.fail != nil {
		return a.failed()
	}
	a.prompt.begun = true
	a.f.backend.tracker.RecordResponse(a.choice.server.ID)
	if !a.streams() {
		return a.readBuffered(relay)
	}
	defer a.resp.Close()
	if fail := a.readStream(relay, watch); fail != nil {
		suspect := a.ctx.Err() == nil && a.prompt.suspect(time.Now()) != nil
		return attemptResult{fail: a.classify(fail), delivered: relay.started, suspect: suspect, head: a.meta.Head}
	}
	return attemptResult{delivered: true, head: a.meta.Head}
}

// readStream writes the events of a stream to the caller.
func (a *attempt) readStream(relay *streamRelay, watch *silenceWatch) *failure.Failure {
	fail := relay.run(a.ctx, a.resp, watch, eventTimeout(a.j), func() { a.recordFirstEvent(relay) })
	if fail != nil {
		return fail
	}
	watch.release()
	return a.checkEnd()
}

// checkEnd returns why a response that was read without an error is not whole; nil if it is. It records whether the server
// has survived the request.
func (a *attempt) checkEnd() *failure.Failure {
	end := responseEnd{framed: !a.resp.Unframed}
	server := &a.choice.server
	if !end.framed {
		a.prompt.pause()
		end.listening = a.f.crashes.afterUnframedEnd(a.ctx, server.Address)
		end.inService = a.f.inService(server.ID)
	}
	a.survived = end.survived()
	if !end.whole() {
		return failure.New(failure.Truncated, failure.Unknown, "the connection to "+server.Address+" ended a response without a length, and nothing listens there any more")
	}
	return nil
}

// streams reports whether the response is passed on as it arrives.
func (a *attempt) streams() bool {
	return !a.j.bufferResponse() && a.resp.Status == http.StatusOK && a.judged.Deliverable
}

// declined returns why the server does not serve the request; nil if it has begun to.
func (a *attempt) declined() *failure.Failure {
	switch {
	case a.fail != nil:
		return a.fail
	case !a.judged.Deliverable:
		return withheldFailure(a.resp, a.judged)
	case a.judged.Code != "":
		return failure.New(a.judged.Code, a.judged.Outcome, "the server answered with status "+strconv.Itoa(a.resp.Status))
	case a.resumed:
		return wrongContinuation(a.resp, a.lastEvent, a.mediaType)
	default:
		return nil
	}
}

func (a *attempt) readBuffered(relay *streamRelay) attemptResult {
	result := readFullResponse(a.resp, a.judged)
	if result.response != nil {
		if fail := a.checkEnd(); fail != nil {
			result.response.share.Release()
			result = attemptResult{fail: fail}
		}
	}
	result.head = a.meta.Head
	if result.fail != nil {
		result.fail = a.classify(result.fail)
		a.survived = false
	}
	if result.fail == nil {
		now := time.Now()
		a.f.backend.recordPlain(a.j, a.choice, now.Sub(a.began), now)
		a.f.metrics.recordPrediction(a.j, a.choice, now.Sub(a.began))
	}
	if relay.started && result.fail == nil {
		result.fail = failure.New(failure.EngineFailed, failure.Ran, "the server did not resume the stream after event "+a.lastEvent)
	}
	return result
}

// failed returns the result of an attempt that got no response, or a refusal.
func (a *attempt) failed() attemptResult {
	if a.fail.Code == failure.WrongIncarnation {
		a.f.backend.tracker.RecordNotLoaded(a.choice.server.ID, a.j.meta.Model, a.j.meta.Adapter, time.Now())
	}
	return attemptResult{fail: a.classify(a.fail), head: a.meta.Head}
}

func (a *attempt) classify(fail *failure.Failure) *failure.Failure {
	return a.f.classifyFailure(a.ctx, a.j, a.choice, a.prompt, fail)
}

func (a *attempt) recordFirstEvent(relay *streamRelay) {
	now := time.Now()
	a.prompt.recordFirstEvent(now)
	if !relay.started {
		a.f.backend.recordFirstEvent(a.j, a.choice, now.Sub(a.began), now)
		a.f.metrics.recordPrediction(a.j, a.choice, now.Sub(a.began))
	}
	a.unbarred()
	a.f.backend.tracker.RecordFirstToken(a.choice.server.ID, a.tokens)
	a.tokens = 0
}

// end releases an attempt that is not in progress any more.
func (a *attempt) end() {
	a.unbarred()
	a.prompt.end(a.survived)
	a.f.backend.tracker.EndAttempt(a.choice.server.ID, a.tokens)
	a.cancel(nil)
}

// discard ends an attempt that was opened and whose response was not read.
func (a *attempt) discard() {
	if a.resp != nil {
		a.resp.Close()
	}
	a.end()
}

// abandon cancels an attempt whose response nobody reads, and returns when it has ended.
func (a *attempt) abandon() {
	a.cancel(errWithdrawn)
	<-a.opened
	a.discard()
}
