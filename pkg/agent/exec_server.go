package agent

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/frame"
	"trefoilferry.example/ferry/pkg/idempotency"
	"trefoilferry.example/ferry/pkg/placement"
	"trefoilferry.example/ferry/pkg/timeline"
)

// ExecServer serves POST /v1/exec.
type ExecServer struct {
	View     *atomic.Pointer[View]
	Work     *Work
	Gate     *Gate
	Prefixes *PrefixIndex
	Chains   *PromptChains
	Adapters *Adapters
	Engine   engine.Engine
	Service  ServiceClient
	// Keys is nil for a model engine.
	Keys    *idempotency.Keeper
	Calls   chan struct{}
	Clock   clock.Clock
	Ring    *timeline.Ring
	Logger  *eventlog.Logger
	Metrics *Metrics
	// Behind is called when a request shows that the agent's configuration is out of date.
	Behind func(offset uint64)
	// MaxBody bounds request bodies in bytes.
	MaxBody int64
	// KeyBody bounds the answers stored with a key in bytes.
	KeyBody int64
}

// call is one exec request in progress.
type call struct {
	request *ferrypb.ExecRequest
	body    []byte
	view    *View
	out     *frame.Writer
	arrived time.Time
	// accepted is set once the backend server has started to answer.
	accepted bool
}

// kind returns the kind for metrics and logs.
func (c *call) kind() string {
	if c.request.GetKind() == ferrypb.RequestKind_REQUEST_KIND_SERVICE {
		return BackendService
	}
	return BackendEngine
}

// object returns the target as kind/name.
func (c *call) object() string {
	if c.kind() == BackendService {
		return "service/" + c.request.GetTarget()
	}
	return "model/" + c.request.GetTarget()
}

// ServeHTTP reads one request and answers it with frames. The HTTP status is always 200 once the request decodes;
// the outcome is in the last frame.
func (s *ExecServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, body, err := frame.ReadRequest(bufio.NewReader(r.Body))
	if err != nil {
		http.Error(w, failure.From(err).Error(), http.StatusBadRequest)
		return
	}
	c := s.newCall(w, request)
	if f := s.readBody(c, body); f != nil {
		s.fail(c, f)
		return
	}
	ctx, cancel := s.withDeadline(r.Context(), request)
	defer cancel()
	if err := s.run(ctx, c); err != nil {
		s.fail(c, s.named(ctx, err))
		return
	}
	s.Metrics.execDone(c.kind(), failure.Ran, "", s.Clock.Now().Sub(c.arrived))
	s.note(c, timeline.ExecDone, "")
}

func (s *ExecServer) newCall(w http.ResponseWriter, request *ferrypb.ExecRequest) *call {
	s.Ring.Observe(request.GetLamport())
	view := s.View.Load()
	if request.GetConfigOffset() > view.ConfigOffset() {
		s.Behind(request.GetConfigOffset())
	}
	w.Header().Set("Content-Type", frame.ContentType)
	flush := func() {}
	if f, ok := w.(http.Flusher); ok {
		flush = f.Flush
	}
	ident := frame.Ident{
		RequestID:   request.GetRequestId(),
		AttemptID:   request.GetAttemptId(),
		Incarnation: view.ServedAs,
	}
	return &call{
		request: request,
		view:    view,
		out:     frame.NewWriter(w, flush, ident, s.Ring.Tick),
		arrived: s.Clock.Now(),
	}
}

// readBody reads the whole body before anything runs, so that a truncated request is never run.
func (s *ExecServer) readBody(c *call, body io.Reader) *failure.Failure {
	if c.request.GetBodyBytes() > s.MaxBody {
		return failure.New(failure.BodyTooLarge, failure.NotRun, "body is larger than the agent's limit")
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return failure.Wrap(failure.Truncated, failure.NotRun, "body of the request is incomplete", err)
	}
	c.body = data
	return nil
}

func (s *ExecServer) withDeadline(ctx context.Context, request *ferrypb.ExecRequest) (context.Context, context.CancelFunc) {
	if request.GetDeadlineMillis() <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(request.GetDeadlineMillis())*time.Millisecond)
}

// named gives failures of an ended context the code of the reason, with the outcome kept.
func (s *ExecServer) named(ctx context.Context, err error) *failure.Failure {
	f := failure.From(err)
	if context.Cause(ctx) == context.DeadlineExceeded && f.Code == failure.ClientCancelled {
		return failure.Wrap(failure.DeadlineExpired, f.Outcome, "deadline of the request passed", err)
	}
	return f
}

// run checks a request and runs it. A failure is not yet written.
func (s *ExecServer) run(ctx context.Context, c *call) error {
	if want := c.request.GetAgentIncarnation(); want != "" && want != c.view.ServedAs {
		return failure.New(failure.WrongIncarnation, failure.NotRun, "request is meant for another incarnation of the agent")
	}
	if c.view.Refusal != nil {
		return c.view.Refusal
	}
	if c.kind() != backendKind(c.view.Identity) {
		return failure.New(failure.NotFound, failure.NotRun, "runner does not serve this kind of request")
	}
	leave, err := s.Work.Enter(c.targets()...)
	if err != nil {
		return err
	}
	defer leave()
	if c.kind() == BackendService {
		return s.serveCall(ctx, c)
	}
	return s.generate(ctx, c)
}

// targets returns what the request counts towards: the service, or the model and the version that serves it.
func (c *call) targets() []string {
	target := c.request.GetTarget()
	served, ok := c.view.Models[target]
	if !ok {
		return []string{target}
	}
	return []string{target, versionTarget(placement.Key{Model: target, Version: served.Version})}
}

func backendKind(id Identity) string {
	if id.Service != "" {
		return BackendService
	}
	return BackendEngine
}

// fail writes the failure as the last frame. The caller may be gone; then nobody reads it.
func (s *ExecServer) fail(c *call, f *failure.Failure) {
	_ = c.out.Fail(f)
	s.Metrics.execDone(c.kind(), f.Outcome, f.Code, s.Clock.Now().Sub(c.arrived))
	event, kind := eventlog.ExecFailed, timeline.ExecFailed
	switch {
	case f.Outcome == failure.NotRun:
		event, kind = eventlog.ExecRefused, timeline.ExecRefused
	case f.Code == failure.ClientCancelled || f.Code == failure.DeadlineExpired:
		event = eventlog.ExecCancelled
	}
	s.note(c, kind, string(f.Code)+" "+string(f.Outcome))
	s.Logger.Log(event, "request", c.request.GetRequestId(), "attempt", c.request.GetAttemptId(),
		"object", c.object(), "code", f.Code, "outcome", f.Outcome, "error", f)
}

func (s *ExecServer) accept(c *call, status int, header []*ferrypb.Header) error {
	c.accepted = true
	s.note(c, timeline.ExecAccepted, "")
	return c.out.Accepted(&ferrypb.Accepted{Status: uint32(status), Header: header, ConfigOffset: c.view.ConfigOffset()})
}

func (s *ExecServer) note(c *call, kind timeline.Kind, detail string) {
	s.Ring.Add(timeline.Event{
		Kind:      kind,
		RequestID: c.request.GetRequestId(),
		AttemptID: c.request.GetAttemptId(),
		Object:    c.object(),
		Host:      c.request.GetEntry(),
		Detail:    detail,
	})
}
