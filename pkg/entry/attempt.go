package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/routing"
)

// responseEndTimeout bounds the wait for the end of the HTTP response after the end frame. A connection that takes
// longer is closed instead of reused.
const responseEndTimeout = 50 * time.Millisecond

// attempt runs one exec call to the runner's agent and passes its verified frames to the sink.
func (d *Dispatcher) attempt(ctx context.Context, snapshot *Snapshot, rs *requestState, c routing.Candidate) error {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := d.newStallWatch(ctx, rs, c, cancel)
	watch.start()
	defer watch.stop()

	message := d.newExecRequest(snapshot, rs, c)
	d.recordStarted(rs, c, message.GetAttemptId())
	d.metrics.attempts.Inc()
	stream, err := d.executor.Exec(attemptCtx, c.Address, message, rs.request.Body)
	if err != nil {
		d.reportFailure(ctx, c, err)
		return err
	}
	defer stream.Close()
	err = d.deliver(rs, c, stream, watch)
	d.ring.Observe(stream.Lamport())
	if err != nil {
		d.reportFailure(ctx, c, err)
		return err
	}
	watch.stop()
	time.AfterFunc(responseEndTimeout, cancel)
	return nil
}

// newStallWatch returns the watch of an attempt. It gives up a generation that gets no frame within FrameTimeout, once
// another attempt is reserved. Service calls are bounded by their deadline only, because a service sends nothing while it
// processes the request.
func (d *Dispatcher) newStallWatch(ctx context.Context, rs *requestState, c routing.Candidate, cancel func()) *stallWatch {
	limit := d.settings.Limits.FrameTimeout
	permit := func(superseded func() bool) bool { return d.reserveAttempt(ctx, rs, c, superseded) }
	if !rs.request.isGeneration() {
		limit = d.settings.Limits.RequestTimeout
		permit = func(func() bool) bool { return false }
	}
	return &stallWatch{limit: limit, permit: permit, giveUp: cancel}
}

// reportFailure reports a runner that did not respond correctly, or whose agent is stopping or was replaced, because
// each further call to it would use up a retry. Other refusals, and failures after the request was cancelled or its
// deadline passed, are not reported.
func (d *Dispatcher) reportFailure(ctx context.Context, c routing.Candidate, err error) {
	if ctx.Err() != nil {
		return
	}
	switch failure.From(err).Code {
	case failure.ConnectFailed, failure.ConnectionLost, failure.Truncated, failure.FrameMismatch, failure.ChecksumMismatch,
		failure.Leaving, failure.WrongIncarnation:
		d.reporter.RunnerFailed(c.Runner)
	}
}

func (d *Dispatcher) newExecRequest(snapshot *Snapshot, rs *requestState, c routing.Candidate) *ferrypb.ExecRequest {
	r := rs.request
	now := d.clock.Now()
	return &ferrypb.ExecRequest{
		RequestId:        r.ID,
		AttemptId:        uuid.NewString(),
		Entry:            d.incarnation,
		AgentIncarnation: c.Incarnation,
		ConfigOffset:     snapshot.ConfigOffset,
		Lamport:          d.ring.Tick(),
		Kind:             r.Kind,
		Target:           r.Target,
		Adapter:          r.Adapter,
		Workspace:        r.Workspace,
		Priority:         r.Priority,
		DeadlineMillis:   max(r.Deadline.Sub(now).Milliseconds(), 1),
		FirstTokenMillis: firstTokenMillisLeft(r, now),
		Method:           r.Method,
		Path:             r.Path,
		Header:           r.Header,
		IdempotencyKey:   r.IdempotencyKey,
		Idempotent:       r.Idempotent,
		ResumeText:       string(rs.text),
		ResumeTokens:     rs.tokens,
		MaxTokens:        rs.remainingTokens(),
		ModelVersion:     c.Version,
		Stream:           r.Stream,
		PrefixHash:       r.PrefixHash,
		PromptTokens:     r.PromptTokens,
	}
}

// firstTokenMillisLeft returns the milliseconds left until the first token is due; 0 means no target. For a target that
// has already been missed it returns the whole target, because refusing late requests would only add failures.
func firstTokenMillisLeft(r *Request, now time.Time) int64 {
	left := r.FirstTokenTarget - now.Sub(r.ReceivedAt)
	if left < time.Millisecond {
		left = r.FirstTokenTarget
	}
	return left.Milliseconds()
}

// deliver passes the frames of a response to the sink, up to and including the end frame.
func (d *Dispatcher) deliver(rs *requestState, c routing.Candidate, stream *ExecStream, watch *stallWatch) error {
	for {
		f, err := stream.Next()
		watch.stop()
		if err == io.EOF {
			return failure.New(failure.Truncated, failure.Unknown, "exec response ended without an end frame")
		}
		if err != nil {
			return err
		}
		done, err := d.deliverFrame(rs, c, f)
		if done || err != nil {
			return err
		}
		watch.resume()
	}
}

// deliverFrame passes one frame to the sink and reports whether it was the end frame.
func (d *Dispatcher) deliverFrame(rs *requestState, c routing.Candidate, f *ferrypb.Frame) (bool, error) {
	switch body := f.GetBody().(type) {
	case *ferrypb.Frame_Accepted:
		return false, d.handleAccepted(rs, c, body.Accepted)
	case *ferrypb.Frame_Data:
		return false, d.handleData(rs, c, body.Data)
	case *ferrypb.Frame_End:
		return true, rs.sink.End(rs.usage(body.End))
	default:
		return false, failure.New(failure.FrameMismatch, failure.Unknown, "exec response contains a frame of an unexpected type")
	}
}

func (d *Dispatcher) handleAccepted(rs *requestState, c routing.Candidate, a *ferrypb.Accepted) error {
	d.reporter.ObserveConfigOffset(a.GetConfigOffset())
	d.reporter.RunnerResponded(c.Runner)
	if rs.request.isGeneration() && a.GetStatus() >= http.StatusBadRequest {
		return failure.New(failure.EngineFailed, failure.Ran, "the model engine answered with status "+strconv.Itoa(int(a.GetStatus())))
	}
	return rs.sink.Accepted(a)
}

func (d *Dispatcher) handleData(rs *requestState, c routing.Candidate, data *ferrypb.Data) error {
	if rs.request.isGeneration() {
		d.observeToken(rs)
		rs.text = append(rs.text, data.GetPayload()...)
		rs.tokens += data.GetTokens()
		rs.version = c.Version
	}
	return rs.sink.Data(data.GetPayload())
}

func (d *Dispatcher) observeToken(rs *requestState) {
	now := d.clock.Now()
	if rs.firstDataAt.IsZero() {
		rs.firstDataAt = now
		d.metrics.firstToken.Observe(now.Sub(rs.request.ReceivedAt).Seconds())
	} else {
		d.metrics.betweenTokens.Observe(now.Sub(rs.lastDataAt).Seconds())
	}
	rs.lastDataAt = now
}

// usage counts the tokens that the caller received over all attempts. If the frames have no token counts, it uses the
// engine's count; a missing prompt count is replaced by the estimate of the request.
func (rs *requestState) usage(end *ferrypb.End) Usage {
	u := Usage{FinishReason: end.GetFinishReason(), PromptTokens: end.GetPromptTokens(), CompletionTokens: rs.tokens}
	if u.FinishReason == "" {
		u.FinishReason = "stop"
	}
	if u.PromptTokens == 0 {
		u.PromptTokens = rs.request.PromptTokens
	}
	if u.CompletionTokens == 0 {
		u.CompletionTokens = end.GetCompletionTokens()
	}
	return u
}
