package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/routing"
)

// closeTimeout bounds the wait for the agent to finish the HTTP answer after its end frame; a connection that
// takes longer is closed instead of reused.
const closeTimeout = 50 * time.Millisecond

// attempt runs one exec call and delivers its verified frames.
func (d *Dispatcher) attempt(ctx context.Context, snapshot *Snapshot, j *job, c routing.Candidate) error {
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := d.watchSilence(j, cancel)
	defer silence.Stop()

	message := d.message(snapshot, j, c)
	d.noteStarted(j, c, message.GetAttemptId())
	d.metrics.attempts.Inc()
	answer, err := d.executor.Exec(watch, c.Address, message, j.request.Body)
	if err != nil {
		d.suspectOn(ctx, c, err)
		return err
	}
	defer answer.Close()
	err = d.deliver(j, c, answer, silence)
	d.ring.Observe(answer.Lamport())
	if err != nil {
		d.suspectOn(ctx, c, err)
		return err
	}
	silence.Reset(closeTimeout)
	return nil
}

// watchSilence cancels a generation whose agent sends nothing for too long. Service calls are bounded
// by their timeout only, because a service sends nothing while it works.
func (d *Dispatcher) watchSilence(j *job, cancel func()) *time.Timer {
	limit := d.settings.Limits.FrameTimeout
	if !j.request.generation() {
		limit = d.settings.Limits.RequestTimeout
	}
	return time.AfterFunc(limit, cancel)
}

// suspectOn reports a runner that gave no proper answer or whose agent is stopping or was replaced; each further call
// to it would spend a retry. Other refusals and the caller's own end do not count.
func (d *Dispatcher) suspectOn(ctx context.Context, c routing.Candidate, err error) {
	if ctx.Err() != nil {
		return
	}
	switch failure.From(err).Code {
	case failure.ConnectFailed, failure.ConnectionLost, failure.Truncated, failure.FrameMismatch, failure.ChecksumInvalid,
		failure.Leaving, failure.WrongIncarnation:
		d.reporter.RunnerFailed(c.Runner)
	}
}

func (d *Dispatcher) message(snapshot *Snapshot, j *job, c routing.Candidate) *ferrypb.ExecRequest {
	r := j.request
	now := d.clock.Now()
	return &ferrypb.ExecRequest{
		RequestId:        r.ID,
		AttemptId:        uuid.NewString(),
		Entry:            d.entry,
		AgentIncarnation: c.Incarnation,
		ConfigOffset:     snapshot.ConfigOffset,
		Lamport:          d.ring.Tick(),
		Kind:             r.Kind,
		Target:           r.Target,
		Adapter:          r.Adapter,
		Workspace:        r.Workspace,
		Priority:         r.Priority,
		DeadlineMillis:   max(r.Deadline.Sub(now).Milliseconds(), 1),
		FirstTokenMillis: firstTokenLeft(r, now),
		Method:           r.Method,
		Path:             r.Path,
		Header:           r.Header,
		IdempotencyKey:   r.Key,
		Idempotent:       r.Idempotent,
		ResumeText:       string(j.text),
		ResumeTokens:     j.tokens,
		MaxTokens:        j.left(),
		ModelVersion:     c.Version,
		Stream:           r.Stream,
		PrefixHash:       r.PrefixHash,
		PromptTokens:     r.PromptTokens,
	}
}

// firstTokenLeft returns the time left until the first token is due in milliseconds; 0 means no target.
// A target that has passed already stays at the whole target: refusing late requests would only add failures.
func firstTokenLeft(r *Request, now time.Time) int64 {
	left := r.FirstToken - now.Sub(r.Received)
	if left < time.Millisecond {
		left = r.FirstToken
	}
	return left.Milliseconds()
}

// deliver passes the frames of an answer to the sink.
func (d *Dispatcher) deliver(j *job, c routing.Candidate, answer *Answer, silence *time.Timer) error {
	for {
		f, err := answer.Next()
		if err == io.EOF {
			return failure.New(failure.Truncated, failure.Unknown, "answer without an end")
		}
		if err != nil {
			return err
		}
		d.rearm(j, silence)
		done, err := d.deliverFrame(j, c, f)
		if done || err != nil {
			return err
		}
	}
}

func (d *Dispatcher) rearm(j *job, silence *time.Timer) {
	if j.request.generation() {
		silence.Reset(d.settings.Limits.FrameTimeout)
	}
}

func (d *Dispatcher) deliverFrame(j *job, c routing.Candidate, f *ferrypb.Frame) (bool, error) {
	switch body := f.GetBody().(type) {
	case *ferrypb.Frame_Accepted:
		return false, d.accepted(j, c, body.Accepted)
	case *ferrypb.Frame_Data:
		return false, d.data(j, c, body.Data)
	case *ferrypb.Frame_End:
		return true, j.sink.End(j.usage(body.End))
	default:
		return false, failure.New(failure.FrameMismatch, failure.Unknown, "unexpected frame")
	}
}

func (d *Dispatcher) accepted(j *job, c routing.Candidate, a *ferrypb.Accepted) error {
	d.reporter.Observed(a.GetConfigOffset())
	d.reporter.RunnerAnswered(c.Runner)
	if j.request.generation() && a.GetStatus() >= http.StatusBadRequest {
		return failure.New(failure.EngineFailed, failure.Ran, "the model engine answered with an error")
	}
	return j.sink.Accepted(a)
}

func (d *Dispatcher) data(j *job, c routing.Candidate, data *ferrypb.Data) error {
	if j.request.generation() {
		d.observeToken(j)
		j.text = append(j.text, data.GetPayload()...)
		j.tokens += data.GetTokens()
		j.version = c.Version
	}
	return j.sink.Data(data.GetPayload())
}

func (d *Dispatcher) observeToken(j *job) {
	now := d.clock.Now()
	if j.firstAt.IsZero() {
		j.firstAt = now
		d.metrics.firstToken.Observe(now.Sub(j.request.Received).Seconds())
	} else {
		d.metrics.betweenTokens.Observe(now.Sub(j.lastAt).Seconds())
	}
	j.lastAt = now
}

// usage counts the tokens that the caller received, over all attempts. Counts that the frames lack are those of the engine.
func (j *job) usage(end *ferrypb.End) Usage {
	u := Usage{FinishReason: end.GetFinishReason(), PromptTokens: end.GetPromptTokens(), CompletionTokens: j.tokens}
	if u.FinishReason == "" {
		u.FinishReason = "stop"
	}
	if u.PromptTokens == 0 {
		u.PromptTokens = j.request.PromptTokens
	}
	if u.CompletionTokens == 0 {
		u.CompletionTokens = end.GetCompletionTokens()
	}
	return u
}
