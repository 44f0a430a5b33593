package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"trefoilferry.example/ferry/pkg/availability"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/exchange"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/serverlimit"
	"trefoilferry.example/ferry/pkg/verdict"
)

// maxBufferedBytes bounds a response body that is buffered, and a request body when the configuration sets no limit.
const maxBufferedBytes = 16 << 20

// maxRefusalBytes is the longest body of a refusal that is read to reuse the connection. The refused request is retried
// at once, so a body of unknown length must not hold it up.
const maxRefusalBytes = 4 << 10

// backend sends requests to backend servers.
type backend struct {
	pool    *exchange.Pool
	codec   Codec
	tracker *Tracker
	limits  *serverlimit.Table
	// availability is what the servers say about taking requests; nil for none.
	availability *availability.Table
	log          *eventlog.Logger
}

// send sends the request to the chosen server and returns the response with its decoded header. A response that
// declares that the request was not executed is returned as a failure with outcome NotRun.
func (b *backend) send(ctx context.Context, j *job, c *choice, lastEvent string) (*exchange.Response, ResponseMeta, *failure.Failure) {
	req := &exchange.Request{
		Method: j.method,
		Target: j.target,
		Host:   j.host,
		Header: b.codec.AttemptHeader(j.header, AttemptMeta{
			ServerID: c.server.ID, Remaining: j.remaining(time.Now()), Priority: -1, LastEventID: lastEvent,
		}),
		Body:      j.body,
		ID:        j.meta.RequestID,
		FreshConn: !j.route.Retryable(),
		MaxIdle:   j.maxIdle,
		Matches: func(h http.Header) bool {
			return b.codec.DecodeResponse(http.StatusOK, h).RequestID == j.meta.RequestID
		},
		Unnamed: func(h http.Header) bool { return b.codec.DecodeResponse(http.StatusOK, h).RequestID == "" },
	}
	sentAt := time.Now()
	resp, err := b.pool.Send(ctx, c.server.Address, req)
	if err != nil {
		return nil, ResponseMeta{}, failure.From(err)
	}
	meta := b.codec.DecodeResponse(resp.Status, resp.Header)
	meta.Head.Encoded = hasContentCoding(resp.Header)
	now := time.Now()
	b.tracker.RecordLoad(c.server.ID, meta.Load, now)
	b.recordLimit(c.server.ID, meta.Limit, now)
	b.recordAvailability(&c.server, j, &meta, sentAt, now)
	if meta.Head.NotRun() {
		defer resp.Close()
		if resp.Length >= 0 && resp.Length <= maxRefusalBytes {
			// The body is drained so that the connection can be reused; errors do not matter.
			_, _ = io.Copy(io.Discard, resp)
		}
		return nil, meta, refusalFailure(resp)
	}
	return resp, meta, nil
}

// recordLimit records the limit in a response of a server, 0 for none.
func (b *backend) recordLimit(server string, limit float64, now time.Time) {
	if changed, before := b.limits.Observe(server, serverlimit.Observation{Rate: limit, At: now}); changed {
		b.log.Log(eventlog.ServerLimitChanged, "server", server, "limit", limit, "before", before)
	}
}

// refusalFailure returns the failure for a response that declares that the request was not executed. Its cause, which only
// logs show, names the requests before it on the connection: a faulty server may write the response to one of them again.
func refusalFailure(resp *exchange.Response) *failure.Failure {
	code, text := failure.Overloaded, "the server refused the request with status "+strconv.Itoa(resp.Status)
	if resp.Status == http.StatusMisdirectedRequest {
		code, text = failure.WrongIncarnation, "the server at the address is another incarnation or has not loaded the model"
	}
	return failure.Wrap(code, failure.NotRun, text, failure.New(code, failure.NotRun, "the connection had carried "+strconv.Itoa(resp.Earlier)+" requests"))
}

// readFullResponse reads a whole response within the budget. Responses without the signature, or with a content coding,
// are rejected unread: they do not come from a backend server, and their body may have no end.
func readFullResponse(resp *exchange.Response, head verdict.Response, budget *bufferBudget) attemptResult {
	defer resp.Close()
	if !head.Signed || head.Encoded {
		return attemptResult{fail: failure.New(failure.FrameMismatch, failure.Unknown, "the response is not signed by a backend server or has a content coding")}
	}
	body, reserved, err := budget.readAll(resp)
	if err != nil {
		return attemptResult{fail: failure.From(err), reserved: reserved}
	}
	buffered := &bufferedResponse{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= http.StatusInternalServerError {
		return attemptResult{response: buffered, reserved: reserved,
			fail: failure.New(failure.EngineFailed, failure.Ran, "the server answered with status "+strconv.Itoa(resp.Status))}
	}
	return attemptResult{response: buffered, reserved: reserved}
}
