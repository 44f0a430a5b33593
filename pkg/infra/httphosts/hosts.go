// Package httphosts is the HTTP client of the platform's host list.
package httphosts

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/oncehttp"
)

// maxAnswerBytes bounds one answer; a list of 10,000 hosts stays below 4 MiB.
const maxAnswerBytes = 16 << 20

// List implements infra.HostList over HTTP. It is safe for concurrent use.
type List struct {
	base string
	send *oncehttp.Sender

	mu    sync.Mutex
	known answer
}

// answer is the last complete answer.
type answer struct {
	etag  string
	hosts []infra.Host
}

var _ infra.HostList = (*List)(nil)

// New returns a client of the host list service at baseURL. A nil client means oncehttp.NewClient().
func New(baseURL string, client *http.Client) *List {
	return &List{base: strings.TrimSuffix(baseURL, "/"), send: oncehttp.New(client)}
}

// Hosts returns the current list, which callers must not change: it is the same slice while the platform answers that
// nothing has changed. Failures have code HostsUnavailable; a list that is cut short is a failure, too.
func (l *List) Hosts(ctx context.Context) ([]infra.Host, error) {
	l.mu.Lock()
	known := l.known
	l.mu.Unlock()
	header := http.Header{"Accept-Encoding": {"gzip"}}
	if known.etag != "" {
		header.Set("If-None-Match", known.etag)
	}
	resp, err := l.send.Send(ctx, oncehttp.Request{Method: http.MethodGet, URL: l.base + "/hosts", Header: header})
	if err != nil {
		return nil, failure.Wrap(failure.HostsUnavailable, failure.From(err).Outcome, "host list did not answer", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified && known.etag != "" {
		return known.hosts, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, failure.New(failure.HostsUnavailable, failure.Unknown, "host list answered "+resp.Status)
	}
	hosts, err := decode(resp)
	if err != nil {
		return nil, failure.Wrap(failure.HostsUnavailable, failure.Unknown, "host list is incomplete", err)
	}
	if hosts == nil {
		return nil, failure.New(failure.HostsUnavailable, failure.Unknown, "host list is null")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = answer{etag: resp.Header.Get("ETag"), hosts: hosts}
	return hosts, nil
}

func decode(resp *http.Response) ([]infra.Host, error) {
	var body io.Reader = resp.Body
	if resp.Header.Get("Content-Encoding") == "gzip" {
		plain, err := gzip.NewReader(body)
		if err != nil {
			return nil, err
		}
		body = plain
	}
	var hosts []infra.Host
	err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&hosts)
	if err != nil {
		return nil, err
	}
	return hosts, nil
}
