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

// maxResponseBytes limits the size of a decompressed response; a list of 10,000 hosts stays below 4 MiB.
const maxResponseBytes = 16 << 20

// List implements infra.HostList over HTTP. It is safe for concurrent use.
type List struct {
	baseURL string
	sender  *oncehttp.Sender

	mu     sync.Mutex
	cached cachedList
}

// cachedList is the host list of the last complete response, with its ETag.
type cachedList struct {
	etag  string
	hosts []infra.Host
}

var _ infra.HostList = (*List)(nil)

// New returns a client of the host list service at baseURL. A nil client means oncehttp.NewClient().
func New(baseURL string, client *http.Client) *List {
	return &List{baseURL: strings.TrimSuffix(baseURL, "/"), sender: oncehttp.New(client)}
}

// Hosts returns the current list. Callers must not modify it, because the same slice is returned as long as the list is
// unchanged (status 304). Failures have code HostListUnavailable; a truncated list is a failure as well.
func (l *List) Hosts(ctx context.Context) ([]infra.Host, error) {
	l.mu.Lock()
	cached := l.cached
	l.mu.Unlock()
	header := http.Header{"Accept-Encoding": {"gzip"}}
	if cached.etag != "" {
		header.Set("If-None-Match", cached.etag)
	}
	resp, err := l.sender.Send(ctx, oncehttp.Request{Method: http.MethodGet, URL: l.baseURL + "/hosts", Header: header})
	if err != nil {
		return nil, failure.Wrap(failure.HostListUnavailable, failure.From(err).Outcome, "host list did not answer", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified && cached.etag != "" {
		return cached.hosts, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, failure.New(failure.HostListUnavailable, failure.Unknown, "host list service responded with status "+resp.Status)
	}
	hosts, err := decode(resp)
	if err != nil {
		return nil, failure.Wrap(failure.HostListUnavailable, failure.Unknown, "host list response is truncated or not valid", err)
	}
	if hosts == nil {
		return nil, failure.New(failure.HostListUnavailable, failure.Unknown, "host list response is null, want an array")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cached = cachedList{etag: resp.Header.Get("ETag"), hosts: hosts}
	return hosts, nil
}

// decode reads the list from the response body, which may be compressed.
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
	err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&hosts)
	if err != nil {
		return nil, err
	}
	return hosts, nil
}
