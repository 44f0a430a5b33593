// Package service implements the client of plain services, which are HTTP backend servers other than model engines.
// Every call is sent at most once.
package service

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/oncehttp"
)

// Client calls one plain service. It is safe for concurrent use.
type Client struct {
	baseURL string
	sender  *oncehttp.Sender
}

// NewClient returns a client of the service at baseURL. A nil client means oncehttp.NewSingleUseClient().
func NewClient(baseURL string, client *http.Client) *Client {
	if client == nil {
		client = oncehttp.NewSingleUseClient()
	}
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), sender: oncehttp.New(client)}
}

// Do sends the call once and returns the response, whatever its status. The caller must close the response body.
//
// Failures: BadRequest with outcome NotRun for an invalid path; ConnectFailed with outcome NotRun if no byte was sent,
// FrameMismatch with outcome Unknown for a response that is not valid HTTP, ConnectionLost with outcome Unknown otherwise;
// ClientCancelled or DeadlineExceeded with either outcome if ctx is done; ServiceFailed with outcome Ran if the service
// switched protocols.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, failure.New(failure.BadRequest, failure.NotRun, fmt.Sprintf("path of a service call must start with /, got %.64q", call.Path))
	}
	resp, err := c.sender.Send(ctx, call.request(c.baseURL))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		// The body of a 101 response is the raw connection, which has no end.
		_ = resp.Body.Close()
		return nil, failure.New(failure.ServiceFailed, failure.Ran, "service sent an unrequested status 101 Switching Protocols")
	}
	return newResponse(resp), nil
}
