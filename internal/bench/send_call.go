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

// call sends one keyed service call and compares the echo with what was sent.
func (s *Sender) call(ctx context.Context, o *Observation) {
	body := callBody(o.Arrival)
	resp := s.post(ctx, o, "/services/"+o.Arrival.Member.Name+callPath, body)
	if resp == nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		noteError(o, resp)
		return
	}
	o.Replayed = resp.Header.Get(headerReplayed) != ""
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		o.fail(transportCode(err), failure.Unknown)
		return
	}
	o.ReceivedBytes = len(data)
	o.Wrong = wrongEcho(o.Arrival, body, data)
	o.Whole = o.Wrong == ""
}

// wrongEcho explains how an echo differs from the call; empty means that it does not.
func wrongEcho(a *Arrival, body, data []byte) string {
	var echo service.Echo
	if err := json.Unmarshal(data, &echo); err != nil {
		return "answer of the service does not decode"
	}
	if echo.Key != a.Key || echo.Body != string(body) || echo.Path != callPath {
		return "answer of the service belongs to another call"
	}
	return ""
}
