package gateway

import (
	"context"
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

// maxBufferedBytes bounds a response body that is buffered, and a request body when the configuration sets no limit. All
// together are bounded by the budget of the pool.
const maxBufferedBytes = 16 << 20

const (
	// maxRefusalBytes is the longest body of a refusal that is read to reuse the connection.
	maxRefusalBytes = 4 << 10
	// maxRefusalTime is how long it is waited for: a body that does not come must not hold up the retry of the request. It
	// usually comes with the head.
	maxRefusalTime = 30 * time.Millisecond
)

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

// send sends the request to the chosen server and returns the response with its decoded header and what follows from it. A
// response that shows that the request was not run is returned as a failure. It calls sending, unless that is nil, before the
// first byte of the request is sent.
func (b *backend) send(ctx context.Context, j *job, c *choice, lastEvent string, sending func()) (*exchange.Response, ResponseMeta, verdict.Judgement, *failure.Failure) {
	req := &exchange.Request{
		Method: j.method,
		Target: j.target,
		Host:   j.host,
		Header: b.codec.AttemptHeader(j.header, AttemptMeta{
			ServerID: c.server.ID, Remaining: j.remaining(time.Now()), Priority: j.rank(), LastEventID: lastEvent,
			Workspace: j.workspaceName(), WithholdKey: j.keyed,
		}),
		Body:      j.body,
		ID:        j.meta.RequestID,
		FreshConn: !j.route.Retryable(),
		MaxIdle:   j.maxIdle,
		Sending:   sending,
		Matches: func(h http.Header) bool {
			return b.codec.DecodeResponse(http.StatusOK, h).RequestID == j.meta.RequestID
		},
		Unnamed: func(h http.Header) bool { return b.codec.DecodeResponse(http.StatusOK, h).RequestID == "" },
	}
	sentAt := time.Now()
	resp, err := b.pool.Send(ctx, c.server.Address, req)
	if err != nil {
		return nil, ResponseMeta{}, verdict.Judgement{}, failure.From(err)
	}
	meta := b.codec.DecodeResponse(resp.Status, resp.Header)
	meta.Head.Encoded = hasContentCoding(resp.Header)
	judged := verdict.Judge(meta.Head)
	now := time.Now()
	b.tracker.RecordLoad(c.server.ID, meta.Load, now)
	b.recordStatement(&c.server, meta.Load, judged.Code, now)
	b.recordLimit(c.server.ID, meta.Limit, now)
	b.recordAvailability(&c.server, j, &meta, judged.Outcome != failure.NotRun, sentAt, now)
	if judged.Outcome == failure.NotRun {
		defer resp.Close()
		resp.Drain(maxRefusalBytes, maxRefusalTime)
		return nil, meta, judged, withheldFailure(resp, judged)
	}
	return resp, meta, judged, nil
}

// recordLimit records the limit in a response of a server, 0 for none.
func (b *backend) recordLimit(server string, limit float64, now time.Time) {
	if changed, before := b.limits.Observe(server, serverlimit.Observation{Rate: limit, At: now}); changed {
		b.log.Log(eventlog.ServerLimitChanged, "server", server, "limit", limit, "before", before)
	}
}

// withheldTexts are the messages for responses that callers do not get.
var withheldTexts = map[verdict.Evidence]string{
	verdict.EvidenceDeclared:      "the server refused the request",
	verdict.EvidenceMisdirected:   "the server at the address is another incarnation or has not loaded the model",
	verdict.EvidenceContradictory: "the server declares that it did not run the request, and its status says the opposite",
	verdict.EvidenceUndeclared:    "the server refused the request without declaring that it did not run it",
	verdict.EvidenceForeign:       "the response is not signed by a backend server or has a content coding",
}

// withheldFailure returns the failure for a response that the caller does not get. Its cause, which only logs show, names
// the requests before it on the connection: a faulty server may write the response to one of them again.
func withheldFailure(resp *exchange.Response, judged verdict.Judgement) *failure.Failure {
	return failure.Wrap(judged.Code, judged.Outcome, withheldTexts[judged.Evidence]+" (status "+strconv.Itoa(resp.Status)+")",
		failure.New(judged.Code, judged.Outcome, "the connection had carried "+strconv.Itoa(resp.Earlier)+" requests"))
}

// readFullResponse reads a whole response. The body of one that the caller does not get may have no end,
// so it is read only if it is short.
func readFullResponse(resp *exchange.Response, judged verdict.Judgement) attemptResult {
	defer resp.Close()
	if !judged.Deliverable {
		resp.Drain(maxRefusalBytes, maxRefusalTime)
		return attemptResult{fail: withheldFailure(resp, judged)}
	}
	body, err := resp.ReadAll(maxBufferedBytes)
	if err != nil {
		return attemptResult{fail: failure.From(err)}
	}
	buffered := &bufferedResponse{status: resp.Status, header: resp.Header, body: body, share: resp.Detach()}
	if judged.Code != "" {
		return attemptResult{response: buffered,
			fail: failure.New(judged.Code, judged.Outcome, "the server answered with status "+strconv.Itoa(resp.Status))}
	}
	return attemptResult{response: buffered}
}
