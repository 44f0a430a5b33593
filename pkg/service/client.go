// Package service is the client to a plain service. Every call is sent at most once.
package service

import (
	"context"
	"net/http"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/oncehttp"
)

// Client calls one plain service. It is safe for concurrent use.
type Client struct {
	base string
	send *oncehttp.Sender
}

// NewClient returns a client of the service at baseURL. A nil client means oncehttp.NewClient().
func NewClient(baseURL string, client *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(baseURL, "/"), send: oncehttp.New(client)}
}

// Do sends the call once and returns the answer with any status; the answer's body must be closed.
//
// Failures: ConnectFailed with outcome NotRun when no byte was sent, ConnectionLost with outcome Unknown
// afterwards; ClientCancelled or DeadlineExpired with either outcome when ctx ended; ServiceFailed with outcome Ran
// when the service switched protocols.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "path of a service call must start with /")
	}
	resp, err := c.send.Send(ctx, call.request(c.base))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		// The body of such an answer is a raw connection without an end.
		_ = resp.Body.Close()
		return nil, failure.New(failure.ServiceFailed, failure.Ran, "service switched protocols unasked")
	}
	return newResponse(resp), nil
}
