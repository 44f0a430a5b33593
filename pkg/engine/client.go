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

// maxResponseBytes limits the size of a load report or a list of cache events.
const maxResponseBytes = 16 << 20

// Client implements Engine over HTTP. It sends every request at most once. It is safe for concurrent use.
type Client struct {
	baseURL string
	sender  *oncehttp.Sender
}

var _ Engine = (*Client)(nil)

// NewClient returns a client of the engine at baseURL. A nil client means oncehttp.NewSingleUseClient().
// A Timeout of the HTTP client would also end streams.
func NewClient(baseURL string, client *http.Client) *Client {
	if client == nil {
		client = oncehttp.NewSingleUseClient()
	}
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), sender: oncehttp.New(client)}
}

// Generate starts a generation; ctx must stay valid until the stream is closed.
//
// Failures with outcome NotRun: ConnectFailed if no byte was sent, Overloaded or NotLoaded if the engine returned
// status 503, BadRequest if the body is not a JSON object. With outcome Ran: BadRequest for a 4xx status, EngineFailed
// for any other error status or a response that is not an event stream. With outcome Unknown: ConnectionLost if the
// connection broke, FrameMismatch if the response is not valid HTTP or belongs to another request. Failures due to an
// error status wrap a StatusError. If ctx is done, the code is ClientCancelled or DeadlineExceeded, with outcome NotRun if
// no byte was sent and Unknown otherwise.
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
	resp, err := c.sender.Send(ctx, oncehttp.Request{Method: http.MethodPost, URL: c.baseURL + path, Header: header, Body: body})
	if err != nil {
		cancel()
		return nil, err
	}
	if err := checkResponse(resp, req.RequestID); err != nil {
		cancel()
		_ = resp.Body.Close()
		return nil, err
	}
	return newStream(ctx, cancel, resp.Body, req), nil
}

// Order sends an order and waits until the engine has executed it.
//
// Failures: OrderFenced, MemoryExhausted, NotLoaded and OrderFailed with outcome NotRun if the engine refused the order;
// ConnectFailed, ClientCancelled or DeadlineExceeded with outcome NotRun if no byte was sent; all others have outcome
// Unknown.
func (c *Client) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return failure.Wrap(failure.Internal, failure.NotRun, "cannot encode order", err)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	resp, err := c.sender.Send(ctx, oncehttp.Request{Method: http.MethodPost, URL: c.baseURL + "/orders", Header: header, Body: body})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	return orderFailure(resp)
}

// Report returns the load report. Failures have code ConnectFailed, ConnectionLost or EngineFailed, and ClientCancelled
// or DeadlineExceeded if ctx is done. A report without an instance is rejected, because an empty JSON object would
// otherwise look like an engine without loaded models.
func (c *Client) Report(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	if err := c.get(ctx, "/report", &report); err != nil {
		return LoadReport{}, err
	}
	if report.Instance == "" {
		return LoadReport{}, failure.New(failure.EngineFailed, failure.Ran, "load report has no instance")
	}
	return report, nil
}

// CacheEvents returns the prefix-cache events with sequence numbers from on. Failures are those of Report.
func (c *Client) CacheEvents(ctx context.Context, from uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	query := url.Values{"from": {strconv.FormatUint(from, 10)}}
	err := c.get(ctx, "/cache-events?"+query.Encode(), &events)
	return events, err
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	resp, err := c.sender.Send(ctx, oncehttp.Request{Method: http.MethodGet, URL: c.baseURL + path})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.EngineFailed, failure.Ran, "engine responded to GET "+path+" with status "+resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into); err != nil {
		return failure.Wrap(failure.ConnectionLost, failure.Unknown, "engine response to GET "+path+" is truncated or not valid JSON", err)
	}
	return nil
}
