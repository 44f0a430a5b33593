package agent

import (
	"context"
	"fmt"
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
	// headerReplayed marks a response that is the stored result of an earlier run.
	headerReplayed = "Idempotent-Replayed"
	// overloadRetryAfter is the retry-after time given to callers when too many calls are in progress.
	overloadRetryAfter = 200 * time.Millisecond
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
	s.addTimeline(c, timeline.KeyClaimed, c.request.GetIdempotencyKey())
	if ctx.Err() != nil {
		s.abandon(c, grant)
		return failure.Wrap(failure.ClientCancelled, failure.NotRun, "request was cancelled before it was sent to the service", ctx.Err())
	}
	return s.runKeyed(ctx, c, grant)
}

// requestHash identifies the request that a key belongs to: a hash of method, path, workspace and body.
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

// maxKeyedResponseBytes bounds the response to a keyed call, which is read completely before it is passed on.
const maxKeyedResponseBytes = 16 << 20

// runKeyed calls the service and records the outcome. The call continues when the caller cancels, so that its outcome
// becomes known.
func (s *ExecServer) runKeyed(ctx context.Context, c *call, grant *idempotency.Grant) error {
	ctx, cancel := s.withTimeout(context.WithoutCancel(ctx), c)
	defer cancel()
	if !grant.MayStart() {
		s.abandon(c, grant)
		return failure.New(failure.LogUnavailable, failure.NotRun, "claim of the idempotency key is too old to run the request")
	}
	response, err := s.Service.Do(ctx, serviceCall(c))
	if err != nil {
		return s.keyFailed(c, grant, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxKeyedResponseBytes+1))
	if err == nil && len(body) > maxKeyedResponseBytes {
		err = failure.New(failure.BodyTooLarge, failure.Ran, fmt.Sprintf("the service's response is longer than %d bytes", maxKeyedResponseBytes))
	}
	if err != nil {
		return s.keyFailed(c, grant, withStartedOutcome(err))
	}
	s.recordOutcome(c, grant, s.keyDone(response, body))
	return s.writeResponse(c, response.Status, response.Header, body)
}

func (s *ExecServer) keyDone(response *service.Response, body []byte) *ferrypb.KeyDone {
	out := &ferrypb.KeyDone{
		Outcome: string(failure.Ran),
		Status:  uint32(response.Status),
		Header:  frameHeader(response.Header),
		Body:    body,
	}
	if int64(len(body)) > s.MaxKeyBodyBytes {
		out.Body = nil
		out.BodyOmitted = true
	}
	return out
}

// keyFailed records the result of a failed call. The claim of the key is abandoned only if the request is known not to
// have run; otherwise the outcome is recorded as unknown.
func (s *ExecServer) keyFailed(c *call, grant *idempotency.Grant, err error) error {
	if failure.From(err).Outcome == failure.NotRun {
		s.abandon(c, grant)
		return err
	}
	s.Logger.Log(eventlog.KeyUnresolved, "request", c.request.GetRequestId(), "object", c.object(), "error", err)
	s.recordOutcome(c, grant, &ferrypb.KeyDone{Outcome: string(failure.Unknown)})
	return err
}

// recordOutcome queues the outcome for the log. Until it is stored the key stays claimed, so the request is not run
// again.
func (s *ExecServer) recordOutcome(c *call, grant *idempotency.Grant, done *ferrypb.KeyDone) {
	grant.Finish(done)
	s.addTimeline(c, timeline.KeyDone, c.request.GetIdempotencyKey())
}

func (s *ExecServer) abandon(c *call, grant *idempotency.Grant) {
	grant.Abandon()
	s.addTimeline(c, timeline.KeyAbandoned, c.request.GetIdempotencyKey())
}

// replay responds with the stored result of an earlier run.
func (s *ExecServer) replay(c *call, earlier *ferrypb.KeyDone) error {
	s.addTimeline(c, timeline.KeyReplayed, c.request.GetIdempotencyKey())
	if failure.ParseOutcome(earlier.GetOutcome()) != failure.Ran {
		return failure.New(failure.KeyInProgress, failure.Unknown, "an earlier run with this idempotency key has an unknown outcome")
	}
	if earlier.GetBodyOmitted() {
		return failure.New(failure.KeyInProgress, failure.Ran, "the request with this idempotency key has run; its response was too large to store")
	}
	header := httpHeader(earlier.GetHeader())
	header.Set(headerReplayed, "true")
	return s.writeResponse(c, int(earlier.GetStatus()), header, earlier.GetBody())
}
