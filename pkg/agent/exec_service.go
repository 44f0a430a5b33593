package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/frame"
	"trefoilferry.example/ferry/pkg/service"
)

// relayBuffer is the maximum size in bytes of one read of a service's response.
const relayBuffer = 32 << 10

// serveService runs one call of the service.
func (s *ExecServer) serveService(ctx context.Context, c *call) error {
	if c.request.GetTarget() != c.view.Identity.Service {
		return failure.New(failure.NotFound, failure.NotRun, "runner serves service "+c.view.Identity.Service+", not "+c.request.GetTarget())
	}
	select {
	case s.CallSlots <- struct{}{}:
		defer func() { <-s.CallSlots }()
	default:
		return failure.New(failure.Overloaded, failure.NotRun, fmt.Sprintf("all %d slots for service calls are in use", cap(s.CallSlots))).WithRetryAfter(overloadRetryAfter)
	}
	ctx, cancel := s.withTimeout(ctx, c)
	defer cancel()
	if c.request.GetIdempotencyKey() != "" && !c.request.GetIdempotent() {
		return s.serveKeyed(ctx, c)
	}
	response, err := s.Service.Do(ctx, serviceCall(c))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return s.relayResponse(c, response)
}

// withTimeout applies the published timeout of the service, if it has one.
func (s *ExecServer) withTimeout(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	published, ok := c.view.Config.Service(c.request.GetTarget())
	if !ok || published.Timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, published.Timeout)
}

func serviceCall(c *call) service.Call {
	return service.Call{
		Method:         c.request.GetMethod(),
		Path:           c.request.GetPath(),
		Header:         httpHeader(c.request.GetHeader()),
		Body:           c.body,
		RequestID:      c.request.GetRequestId(),
		IdempotencyKey: c.request.GetIdempotencyKey(),
	}
}

// relayResponse forwards the response of the service as it arrives.
func (s *ExecServer) relayResponse(c *call, response *service.Response) error {
	if err := s.accept(c, response.Status, frameHeader(response.Header)); err != nil {
		return err
	}
	buffer := make([]byte, relayBuffer)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if err := c.out.WriteData(buffer[:n], 0); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return c.out.WriteEnd(frame.Summary{})
		}
		if err != nil {
			return withStartedOutcome(err)
		}
	}
}

// writeResponse writes a complete response.
func (s *ExecServer) writeResponse(c *call, status int, header http.Header, body []byte) error {
	if err := s.accept(c, status, frameHeader(header)); err != nil {
		return err
	}
	if len(body) > 0 {
		if err := c.out.WriteData(body, 0); err != nil {
			return err
		}
	}
	return c.out.WriteEnd(frame.Summary{})
}

func httpHeader(in []*ferrypb.Header) http.Header {
	out := http.Header{}
	for _, h := range in {
		out.Add(h.GetName(), h.GetValue())
	}
	return out
}

// frameHeader returns the header fields ordered by name, so that equal headers are encoded to equal bytes.
func frameHeader(in http.Header) []*ferrypb.Header {
	var out []*ferrypb.Header
	for _, name := range slices.Sorted(maps.Keys(in)) {
		for _, value := range in[name] {
			out = append(out, &ferrypb.Header{Name: name, Value: value})
		}
	}
	return out
}
