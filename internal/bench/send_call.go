package bench

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/service"
)

const callPath = "/crews"

// call sends a service call with an idempotency key and checks that the response echoes it.
func (s *Sender) call(ctx context.Context, o *Observation) {
	body := callBody(o.Arrival)
	resp := s.post(ctx, o, "/services/"+o.Arrival.Member.Name+callPath, body)
	if resp == nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		recordErrorResponse(o, resp)
		return
	}
	o.Replayed = resp.Header.Get(headerReplayed) != ""
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		o.recordFailure(transportCode(err), failure.Unknown)
		return
	}
	o.ReceivedBytes = len(data)
	o.WrongReason = echoMismatch(o.Arrival, body, data)
	o.Complete = o.WrongReason == ""
}

// echoMismatch describes how the echo in data differs from the call; empty if it does not.
func echoMismatch(a *Arrival, body, data []byte) string {
	var echo service.Echo
	if err := json.Unmarshal(data, &echo); err != nil {
		return "cannot decode the response of the service"
	}
	if echo.IdempotencyKey != a.Key || echo.Body != string(body) || echo.Path != callPath {
		return "the service response belongs to another call"
	}
	return ""
}
