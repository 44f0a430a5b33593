package agent

import (
	"context"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/idempotency"
	"trefoilferry.example/ferry/pkg/service"
	"trefoilferry.example/ferry/pkg/timeline"
)

const (
	// headerReplayed marks an answer of an earlier run.
	headerReplayed = "Idempotent-Replayed"
	// overloadPause is the advice to callers when too many calls are in progress.
	overloadPause = 200 * time.Millisecond
)

// serveKeyed runs a call with an idempotency key at most once.
func (s *ExecServer) serveKeyed(ctx context.Context, c *call) error {
	if s.Keys == nil {
		return failure.New(failure.LogUnavailable, failure.NotRun, "idempotency keys are not available")
	}
	grant, err := s.Keys.Acquire(ctx, c.request.GetIdempotencyKey(), requestHash(c))
	if err != nil {
		return err
	}
	if grant.Replay() != nil {
		return s.replay(c, grant.Replay())
	}
	s.note(c, timeline.KeyClaimed, c.request.GetIdempotencyKey())
	if ctx.Err() != nil {
		s.abandon(c, grant)
		return failure.Wrap(failure.ClientCancelled, failure.NotRun, "caller left before the request was sent", ctx.Err())
	}
	return s.runKeyed(ctx, c, grant)
}

// requestHash covers what makes two requests with one key the same request.
func requestHash(c *call) uint64 {
	digest := xxhash.New()
	for _, part := range []string{c.request.GetMethod(), c.request.GetPath(), c.request.GetWorkspace()} {
		// Digest.Write never fails.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(c.body)
	return digest.Sum64()
}

// runKeyed sends the request. The call goes on when the caller leaves, so that its outcome becomes known.
func (s *ExecServer) runKeyed(ctx context.Context, c *call, grant *idempotency.Grant) error {
	ctx, cancel := s.withTimeout(context.WithoutCancel(ctx), c)
	defer cancel()
	if !grant.MayExecute() {
		s.abandon(c, grant)
		return failure.New(failure.LogUnavailable, failure.NotRun, "claim of the key is too old to run the request")
	}
	answer, err := s.Service.Do(ctx, serviceCall(c))
	if err != nil {
		return s.keyFailed(c, grant, err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return s.keyFailed(c, grant, started(err))
	}
	s.record(c, grant, s.keyDone(answer, body))
	return s.writeAnswer(c, answer.Status, answer.Header, body)
}

func (s *ExecServer) keyDone(answer *service.Response, body []byte) *ferrypb.KeyDone {
	out := &ferrypb.KeyDone{
		Outcome: string(failure.Ran),
		Status:  uint32(answer.Status),
		Header:  frameHeader(answer.Header),
		Body:    body,
	}
	if int64(len(body)) > s.KeyBody {
		out.Body = nil
		out.BodyOmitted = true
	}
	return out
}

// keyFailed settles the claim of a request without an answer. It is withdrawn only with evidence that the request
// was never sent.
func (s *ExecServer) keyFailed(c *call, grant *idempotency.Grant, err error) error {
	if failure.From(err).Outcome == failure.NotRun {
		s.abandon(c, grant)
		return err
	}
	s.Logger.Log(eventlog.KeyUnresolved, "request", c.request.GetRequestId(), "object", c.object(), "error", err)
	s.record(c, grant, &ferrypb.KeyDone{Outcome: string(failure.Unknown)})
	return err
}

// record hands the outcome to the keeper. Until it is in the log the key stays claimed, and its request is not run again.
func (s *ExecServer) record(c *call, grant *idempotency.Grant, done *ferrypb.KeyDone) {
	grant.Done(done)
	s.note(c, timeline.KeyDone, c.request.GetIdempotencyKey())
}

func (s *ExecServer) abandon(c *call, grant *idempotency.Grant) {
	grant.Abandon()
	s.note(c, timeline.KeyAbandoned, c.request.GetIdempotencyKey())
}

// replay answers with the recorded outcome of an earlier run.
func (s *ExecServer) replay(c *call, earlier *ferrypb.KeyDone) error {
	s.note(c, timeline.KeyReplayed, c.request.GetIdempotencyKey())
	if failure.ParseOutcome(earlier.GetOutcome()) != failure.Ran {
		return failure.New(failure.KeyInProgress, failure.Unknown, "an earlier run of the key has no known outcome")
	}
	if earlier.GetBodyOmitted() {
		return failure.New(failure.KeyInProgress, failure.Ran, "the key's request ran; its answer was too large to be kept")
	}
	header := httpHeader(earlier.GetHeader())
	header.Set(headerReplayed, "true")
	return s.writeAnswer(c, int(earlier.GetStatus()), header, earlier.GetBody())
}
