// Package httplog is the HTTP client of the platform's log service.
package httplog

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/oncehttp"
)

// maxAnswerBytes bounds one answer of the log service.
const maxAnswerBytes = 256 << 20

// Log implements infra.Log over HTTP. It is safe for concurrent use.
type Log struct {
	base string
	send *oncehttp.Sender
}

var _ infra.Log = (*Log)(nil)

// New returns a client of the log service at baseURL. A nil client means oncehttp.NewClient().
func New(baseURL string, client *http.Client) *Log {
	return &Log{base: strings.TrimSuffix(baseURL, "/"), send: oncehttp.New(client)}
}

// Append stores data at the end of the stream. Failures have code LogUnavailable: outcome NotRun when no byte was
// sent, and Unknown in every other case, also when the service answered with an error.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	header := http.Header{"Content-Type": {"application/octet-stream"}}
	resp, err := l.send.Send(ctx, oncehttp.Request{Method: http.MethodPost, URL: l.url(stream), Header: header, Body: data})
	if err != nil {
		return 0, unavailable(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, refused(resp)
	}
	var answer AppendAnswer
	if err := decode(resp.Body, &answer); err != nil {
		return 0, err
	}
	if answer.Offset == 0 {
		return 0, failure.New(failure.LogUnavailable, failure.Unknown, "answer of the append has no offset")
	}
	return answer.Offset, nil
}

// Read returns up to limit records from offset from on. A from that is no longer retained fails with code
// OffsetExpired, and the batch carries Next and Oldest; other failures have code LogUnavailable.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int) (infra.Batch, error) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}, "limit": {strconv.Itoa(limit)}}
	resp, err := l.send.Send(ctx, oncehttp.Request{Method: http.MethodGet, URL: l.url(stream) + "?" + query.Encode()})
	if err != nil {
		return infra.Batch{}, unavailable(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return infra.Batch{}, refused(resp)
	}
	var answer ReadAnswer
	if err := decode(resp.Body, &answer); err != nil {
		return infra.Batch{}, err
	}
	if err := answer.check(); err != nil {
		return infra.Batch{}, err
	}
	if resp.StatusCode == http.StatusGone {
		batch := infra.Batch{Next: answer.Next, Oldest: answer.Oldest}
		return batch, failure.New(failure.OffsetExpired, failure.NotRun, "records are no longer retained")
	}
	return answer.batch(from)
}

func (l *Log) url(stream string) string {
	return l.base + "/streams/" + url.PathEscape(stream) + "/records"
}

func unavailable(err error) error {
	return failure.Wrap(failure.LogUnavailable, failure.From(err).Outcome, "log service did not answer", err)
}

func refused(resp *http.Response) error {
	return failure.New(failure.LogUnavailable, failure.Unknown, "log service answered "+resp.Status)
}

func decode(body io.Reader, into any) error {
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(into); err != nil {
		return failure.Wrap(failure.LogUnavailable, failure.Unknown, "answer of the log service is incomplete", err)
	}
	return nil
}
