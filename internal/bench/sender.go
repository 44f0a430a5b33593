package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	headerReplayed  = "Idempotent-Replayed"
	// requestTimeout limits each request; it is far above all latency targets.
	requestTimeout = 30 * time.Second
	// maxErrorBytes is the largest part of an error response body that is read.
	maxErrorBytes = 1 << 16
)

// Sender sends requests to entry hosts as callers do through a load balancer: if a connection cannot be established, it
// tries the next entry host.
type Sender struct {
	// Entries are the base URLs of the entry hosts.
	Entries []string
	// Start is the start time of the load.
	Start  time.Time
	client *http.Client
}

// NewSender returns a sender to the entry hosts with the given base URLs.
func NewSender(entries []string, start time.Time) *Sender {
	transport := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 4096, DisableCompression: true}
	return &Sender{Entries: entries, Start: start, client: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (s *Sender) Close() { s.client.CloseIdleConnections() }

// Send sends one request, reads its response to the end and checks it. Failures are reported in the observation.
func (s *Sender) Send(ctx context.Context, a *Arrival) *Observation {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	o := &Observation{Arrival: a}
	if a.Class == ServiceCall {
		s.call(ctx, o)
	} else {
		s.generate(ctx, o)
	}
	o.Elapsed = max(o.Elapsed, s.sinceArrival(a))
	return o
}

// sinceArrival returns the time since the scheduled arrival of a request.
func (s *Sender) sinceArrival(a *Arrival) time.Duration {
	return time.Since(s.Start) - a.At
}

// post sends a request and returns its response. On failure it records the failure in o and returns nil.
func (s *Sender) post(ctx context.Context, o *Observation, path string, body []byte) *http.Response {
	o.SentBytes = len(body)
	o.SendDelay = max(0, s.sinceArrival(o.Arrival))
	var err error
	for i := range s.Entries {
		o.Entry = (o.Arrival.Entry + i) % len(s.Entries)
		var resp *http.Response
		resp, err = s.postOnce(ctx, o, path, body)
		if err == nil {
			return resp
		}
		if !dialFailed(err) {
			break
		}
	}
	o.recordFailure(transportCode(err), failure.Unknown)
	return nil
}

// postOnce sends a request to the entry host o.Entry.
func (s *Sender) postOnce(ctx context.Context, o *Observation, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.Entries[o.Entry]+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerRequestID, o.Arrival.ID)
	if o.Arrival.Key != "" {
		req.Header.Set(headerKey, o.Arrival.Key)
	}
	return s.client.Do(req)
}

// dialFailed reports whether err means that no connection was established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func transportCode(err error) failure.Code {
	switch {
	case dialFailed(err):
		return failure.ConnectFailed
	case errors.Is(err, context.DeadlineExceeded):
		return failure.DeadlineExceeded
	default:
		return failure.ConnectionLost
	}
}

// recordErrorResponse records the code and outcome of an error response; connection_lost and unknown if its body has
// none.
func recordErrorResponse(o *Observation, resp *http.Response) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var body struct {
		Error errorDetail `json:"error"`
	}
	if err != nil || json.Unmarshal(data, &body) != nil || body.Error.Code == "" {
		o.recordFailure(failure.ConnectionLost, failure.Unknown)
		return
	}
	f := body.Error.failure()
	o.recordFailure(f.Code, f.Outcome)
}
