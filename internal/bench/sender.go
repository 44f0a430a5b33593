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
	// requestLimit bounds one request; it is far beyond every target.
	requestLimit = 30 * time.Second
	// maxErrorBytes bounds the body of an error answer.
	maxErrorBytes = 1 << 16
)

// Sender sends requests to entry hosts as callers do through a load balancer: a refused connection goes on to the
// next entry host.
type Sender struct {
	// Entries are the base URLs of the entry hosts.
	Entries []string
	// Start is the beginning of the load.
	Start  time.Time
	client *http.Client
}

// NewSender returns a sender to the entry hosts with the given base URLs.
func NewSender(entries []string, start time.Time) *Sender {
	transport := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 4096, DisableCompression: true}
	return &Sender{Entries: entries, Start: start, client: &http.Client{Transport: transport}}
}

// Close closes the unused connections.
func (s *Sender) Close() { s.client.CloseIdleConnections() }

// Send sends one request, reads its answer to the end and checks it.
func (s *Sender) Send(ctx context.Context, a *Arrival) *Observation {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	o := &Observation{Arrival: a}
	if a.Class == ServiceCall {
		s.call(ctx, o)
	} else {
		s.generate(ctx, o)
	}
	o.Done = max(o.Done, s.since(a))
	return o
}

// since returns the time since the arrival.
func (s *Sender) since(a *Arrival) time.Duration {
	return time.Since(s.Start) - a.At
}

// post sends a request and returns its answer; on failure it notes the failure and returns nil.
func (s *Sender) post(ctx context.Context, o *Observation, path string, body []byte) *http.Response {
	o.SentBytes = len(body)
	o.Late = max(0, s.since(o.Arrival))
	var err error
	for i := range s.Entries {
		o.Entry = (o.Arrival.Entry + i) % len(s.Entries)
		var resp *http.Response
		resp, err = s.try(ctx, o, path, body)
		if err == nil {
			return resp
		}
		if !refused(err) {
			break
		}
	}
	o.fail(transportCode(err), failure.Unknown)
	return nil
}

func (s *Sender) try(ctx context.Context, o *Observation, path string, body []byte) (*http.Response, error) {
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

// refused reports whether no connection was made.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func transportCode(err error) failure.Code {
	switch {
	case refused(err):
		return failure.ConnectFailed
	case errors.Is(err, context.DeadlineExceeded):
		return failure.DeadlineExpired
	default:
		return failure.ConnectionLost
	}
}

// noteError notes an error answer.
func noteError(o *Observation, resp *http.Response) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var body struct {
		Error errorDetail `json:"error"`
	}
	if err != nil || json.Unmarshal(data, &body) != nil || body.Error.Code == "" {
		o.fail(failure.ConnectionLost, failure.Unknown)
		return
	}
	f := body.Error.failure()
	o.fail(f.Code, f.Outcome)
}
