package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/oncehttp"
)

// maxAnswerBytes bounds a report, a list of cache events or an error of an engine.
const maxAnswerBytes = 16 << 20

// Client implements Engine over HTTP. Every request is sent at most once. It is safe for concurrent use.
type Client struct {
	base string
	send *oncehttp.Sender
}

var _ Engine = (*Client)(nil)

// NewClient returns a client of the engine at baseURL. A nil client means oncehttp.NewClient(). A total timeout of
// the HTTP client also cuts streams.
func NewClient(baseURL string, client *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(baseURL, "/"), send: oncehttp.New(client)}
}

// Generate starts a generation; ctx must stay valid until the stream is closed.
//
// Failures: outcome NotRun with ConnectFailed when no byte was sent, with Overloaded or NotLoaded when the engine
// answered 503, with BadRequest when the body is no JSON object; outcome Ran with BadRequest for another 4xx, whose
// status is kept in a StatusError, and with EngineFailed for another status; outcome Unknown with ConnectionLost
// when the connection broke, and with FrameMismatch when the answer belongs to another request.
func (c *Client) Generate(ctx context.Context, req GenerateRequest) (Stream, error) {
	body, err := generateBody(req)
	if err != nil {
		return nil, err
	}
	path := "/v1/completions"
	if req.Chat {
		path = "/v1/chat/completions"
	}
	header := http.Header{headerRequestID: {req.RequestID}, "Content-Type": {"application/json"}}
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.send.Send(ctx, oncehttp.Request{Method: http.MethodPost, URL: c.base + path, Header: header, Body: body})
	if err != nil {
		cancel()
		return nil, err
	}
	if err := checkAnswer(resp, req.RequestID); err != nil {
		cancel()
		_ = resp.Body.Close()
		return nil, err
	}
	return newStream(ctx, cancel, resp.Body, req), nil
}

// Order sends an order and waits until the engine has carried it out.
//
// Failures: OrderFenced, MemoryExhausted, NotLoaded and OrderFailed with outcome NotRun when the engine refused the
// order; ConnectFailed with NotRun when no byte was sent; everything else has outcome Unknown.
func (c *Client) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return failure.Wrap(failure.Internal, failure.NotRun, "order does not encode", err)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	resp, err := c.send.Send(ctx, oncehttp.Request{Method: http.MethodPost, URL: c.base + "/orders", Header: header, Body: body})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	return orderFailure(resp)
}

// Report returns the load report. Failures have code ConnectFailed, ConnectionLost or EngineFailed. A report that
// names no instance is refused: an empty JSON object would look like an engine with nothing loaded.
func (c *Client) Report(ctx context.Context) (Report, error) {
	var report Report
	if err := c.get(ctx, "/report", &report); err != nil {
		return Report{}, err
	}
	if report.Instance == "" {
		return Report{}, failure.New(failure.EngineFailed, failure.Ran, "report names no instance")
	}
	return report, nil
}

// CacheEvents returns the events from a sequence number on. Failures are those of Report.
func (c *Client) CacheEvents(ctx context.Context, from uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	query := url.Values{"from": {strconv.FormatUint(from, 10)}}
	err := c.get(ctx, "/cache-events?"+query.Encode(), &events)
	return events, err
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	resp, err := c.send.Send(ctx, oncehttp.Request{Method: http.MethodGet, URL: c.base + path})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.EngineFailed, failure.Ran, "engine answered "+resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(into); err != nil {
		return failure.Wrap(failure.ConnectionLost, failure.Unknown, "answer of the engine is incomplete", err)
	}
	return nil
}
