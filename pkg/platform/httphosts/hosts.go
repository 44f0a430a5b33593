// Package httphosts is the HTTP client of the platform's host list.
package httphosts

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/oncehttp"
	"trefoilferry.example/ferry/pkg/platform"
)

// maxAnswerBytes bounds one answer; a list of 10,000 hosts stays below 4 MiB.
const maxAnswerBytes = 16 << 20

// List implements platform.HostList over HTTP. It is safe for concurrent use.
type List struct {
	base string
	send *oncehttp.Sender
}

var _ platform.HostList = (*List)(nil)

// New returns a client of the host list service at baseURL. A nil client means oncehttp.NewClient().
func New(baseURL string, client *http.Client) *List {
	return &List{base: strings.TrimSuffix(baseURL, "/"), send: oncehttp.New(client)}
}

// Hosts returns the current list. Failures have code HostsUnavailable; a list that is cut short is a failure, too.
func (l *List) Hosts(ctx context.Context) ([]platform.Host, error) {
	resp, err := l.send.Send(ctx, oncehttp.Request{Method: http.MethodGet, URL: l.base + "/hosts"})
	if err != nil {
		return nil, failure.Wrap(failure.HostsUnavailable, failure.From(err).Outcome, "host list did not answer", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, failure.New(failure.HostsUnavailable, failure.Unknown, "host list answered "+resp.Status)
	}
	var hosts []platform.Host
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&hosts); err != nil {
		return nil, failure.Wrap(failure.HostsUnavailable, failure.Unknown, "host list is incomplete", err)
	}
	if hosts == nil {
		return nil, failure.New(failure.HostsUnavailable, failure.Unknown, "host list is null")
	}
	return hosts, nil
}
