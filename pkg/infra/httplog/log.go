// Package httplog is the HTTP client of the platform's log service.
package httplog

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/oncehttp"
)

// maxResponseBytes limits the size of one response of the log service.
const maxResponseBytes = 256 << 20

// Log implements infra.Log over HTTP. It is safe for concurrent use.
type Log struct {
	baseURL string
	sender  *oncehttp.Sender
}

var _ infra.Log = (*Log)(nil)

// New returns a client of the log service at baseURL. A nil client means oncehttp.NewClient().
func New(baseURL string, client *http.Client) *Log {
	return &Log{baseURL: strings.TrimSuffix(baseURL, "/"), sender: oncehttp.New(client)}
}

// Append stores data at the end of the stream. Failures have code LogUnavailable, with outcome NotRun if no byte was sent
// and Unknown in every other case, including error responses.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	header := http.Header{"Content-Type": {"application/octet-stream"}}
	resp, err := l.sender.Send(ctx, oncehttp.Request{Method: http.MethodPost, URL: l.recordsURL(stream), Header: header, Body: data})
	if err != nil {
		return 0, unavailable(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, errorResponse(resp)
	}
	var response AppendResponse
	if err := decode(resp.Body, &response); err != nil {
		return 0, err
	}
	if response.Offset == 0 {
		return 0, failure.New(failure.LogUnavailable, failure.Unknown, "log service response to an append has no offset")
	}
	return response.Offset, nil
}

// Read returns up to limit records, starting at offset from. If from is no longer retained, it fails with code
// OffsetExpired and the batch holds NextOffset and OldestOffset only; other failures have code LogUnavailable.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int) (infra.Batch, error) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}, "limit": {strconv.Itoa(limit)}}
	resp, err := l.sender.Send(ctx, oncehttp.Request{Method: http.MethodGet, URL: l.recordsURL(stream) + "?" + query.Encode()})
	if err != nil {
		return infra.Batch{}, unavailable(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return infra.Batch{}, errorResponse(resp)
	}
	var response ReadResponse
	if err := decode(resp.Body, &response); err != nil {
		return infra.Batch{}, err
	}
	if err := response.checkBounds(); err != nil {
		return infra.Batch{}, err
	}
	if resp.StatusCode == http.StatusGone {
		batch := infra.Batch{NextOffset: response.Next, OldestOffset: response.Oldest}
		return batch, failure.New(failure.OffsetExpired, failure.NotRun, fmt.Sprintf("record at offset %d is no longer retained; the oldest is at offset %d", from, response.Oldest))
	}
	return response.toBatch(from)
}

func (l *Log) recordsURL(stream string) string {
	return l.baseURL + "/streams/" + url.PathEscape(stream) + "/records"
}

func unavailable(err error) error {
	return failure.Wrap(failure.LogUnavailable, failure.From(err).Outcome, "log service did not answer", err)
}

func errorResponse(resp *http.Response) error {
	return failure.New(failure.LogUnavailable, failure.Unknown, "log service responded with status "+resp.Status)
}

func decode(body io.Reader, into any) error {
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(into); err != nil {
		return failure.Wrap(failure.LogUnavailable, failure.Unknown, "log service response is truncated or not valid JSON", err)
	}
	return nil
}
