package agent

import (
	"bufio"
	"context"
	"fmt"
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
	View      *atomic.Pointer[View]
	Requests  *RequestTracker
	Admission *AdmissionQueue
	Prefixes  *PrefixIndex
	Chains    *PromptChains
	Adapters  *AdapterPins
	Engine    engine.Engine
	Service   ServiceClient
	// Keys is nil for a model engine.
	Keys *idempotency.Manager
	// CallSlots limits the service calls in progress: each holds one element.
	CallSlots chan struct{}
	Clock     clock.Clock
	Ring      *timeline.Ring
	Logger    *eventlog.Logger
	Metrics   *Metrics
	// RefreshConfig is called with the config offset of a request that exceeds the agent's own.
	RefreshConfig func(offset uint64)
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64
	// MaxKeyBodyBytes is the maximum size in bytes of a response body stored with an idempotency key.
	MaxKeyBodyBytes int64
}

// call is one exec request in progress.
type call struct {
	request *ferrypb.ExecRequest
	body    []byte
	view    *View
	out     *frame.Writer
	arrived time.Time
	// accepted is set once the accepted frame has been written, that is, the backend server has started to respond.
	accepted bool
}

// kind returns the kind of backend server that the request needs, BackendEngine or BackendService.
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

// ServeHTTP reads one request and responds with a stream of frames. If the request can be decoded, the HTTP status is
// 200 and the last frame gives the outcome; otherwise the status is 400.
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
		s.fail(c, s.withDeadlineCode(ctx, err))
		return
	}
	s.Metrics.execDone(c.kind(), failure.Ran, "", s.Clock.Now().Sub(c.arrived))
	s.addTimeline(c, timeline.ExecDone, "")
}

func (s *ExecServer) newCall(w http.ResponseWriter, request *ferrypb.ExecRequest) *call {
	s.Ring.Observe(request.GetLamport())
	view := s.View.Load()
	if request.GetConfigOffset() > view.ConfigOffset() {
		s.RefreshConfig(request.GetConfigOffset())
	}
	w.Header().Set("Content-Type", frame.ContentType)
	flush := func() {}
	if f, ok := w.(http.Flusher); ok {
		flush = f.Flush
	}
	ident := frame.Ident{
		RequestID:   request.GetRequestId(),
		AttemptID:   request.GetAttemptId(),
		Incarnation: view.ServingIncarnation,
	}
	return &call{
		request: request,
		view:    view,
		out:     frame.NewWriter(w, flush, ident, s.Ring.Tick),
		arrived: s.Clock.Now(),
	}
}

// readBody reads the whole body before the request is run, so that a truncated request never runs.
func (s *ExecServer) readBody(c *call, body io.Reader) *failure.Failure {
	if c.request.GetBodyBytes() > s.MaxBodyBytes {
		return failure.New(failure.BodyTooLarge, failure.NotRun, fmt.Sprintf("request body has %d bytes, limit %d", c.request.GetBodyBytes(), s.MaxBodyBytes))
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return failure.Wrap(failure.Truncated, failure.NotRun, fmt.Sprintf("request body truncated: got %d of %d bytes", len(data), c.request.GetBodyBytes()), err)
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

// withDeadlineCode changes code ClientCancelled to DeadlineExceeded if the deadline of ctx has passed. It keeps the
// outcome.
func (s *ExecServer) withDeadlineCode(ctx context.Context, err error) *failure.Failure {
	f := failure.From(err)
	if context.Cause(ctx) == context.DeadlineExceeded && f.Code == failure.ClientCancelled {
		return failure.Wrap(failure.DeadlineExceeded, f.Outcome, "deadline of the request passed", err)
	}
	return f
}

// run checks a request and runs it. On failure, no failure frame has been written yet.
func (s *ExecServer) run(ctx context.Context, c *call) error {
	if want := c.request.GetAgentIncarnation(); want != "" && want != c.view.ServingIncarnation {
		return failure.New(failure.WrongIncarnation, failure.NotRun, "request names agent incarnation "+want+", want "+c.view.ServingIncarnation)
	}
	if c.view.Refusal != nil {
		return c.view.Refusal
	}
	if c.kind() != backendKind(c.view.Identity) {
		return failure.New(failure.NotFound, failure.NotRun, "runner does not serve this kind of request")
	}
	leave, err := s.Requests.Enter(c.targets()...)
	if err != nil {
		return err
	}
	defer leave()
	if c.kind() == BackendService {
		return s.serveService(ctx, c)
	}
	return s.generate(ctx, c)
}

// targets returns the targets under which the request is counted: the service, or the model and its served version.
func (c *call) targets() []string {
	target := c.request.GetTarget()
	served, ok := c.view.Models[target]
	if !ok {
		return []string{target}
	}
	return []string{target, versionTarget(placement.ModelKey{Model: target, Version: served.Version})}
}

func backendKind(id Identity) string {
	if id.Service != "" {
		return BackendService
	}
	return BackendEngine
}

// fail writes the failure as the last frame. A write error is ignored, because the caller may have disconnected.
func (s *ExecServer) fail(c *call, f *failure.Failure) {
	_ = c.out.WriteFail(f)
	s.Metrics.execDone(c.kind(), f.Outcome, f.Code, s.Clock.Now().Sub(c.arrived))
	event, kind := eventlog.ExecFailed, timeline.ExecFailed
	switch {
	case f.Outcome == failure.NotRun:
		event, kind = eventlog.ExecRefused, timeline.ExecRefused
	case f.Code == failure.ClientCancelled || f.Code == failure.DeadlineExceeded:
		event = eventlog.ExecCancelled
	}
	s.addTimeline(c, kind, string(f.Code)+" "+string(f.Outcome))
	s.Logger.Log(event, "request", c.request.GetRequestId(), "attempt", c.request.GetAttemptId(),
		"object", c.object(), "code", f.Code, "outcome", f.Outcome, "error", f)
}

func (s *ExecServer) accept(c *call, status int, header []*ferrypb.Header) error {
	c.accepted = true
	s.addTimeline(c, timeline.ExecAccepted, "")
	return c.out.WriteAccepted(&ferrypb.Accepted{Status: uint32(status), Header: header, ConfigOffset: c.view.ConfigOffset()})
}

func (s *ExecServer) addTimeline(c *call, kind timeline.Kind, detail string) {
	s.Ring.Add(timeline.Event{
		Kind:      kind,
		RequestID: c.request.GetRequestId(),
		AttemptID: c.request.GetAttemptId(),
		Object:    c.object(),
		Host:      c.request.GetEntry(),
		Detail:    detail,
	})
}
