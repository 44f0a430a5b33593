package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/exchange"
	"trefoilferry.example/ferry/pkg/failure"
)

// maxWholeAnswer bounds an answer that is kept until it is complete, in bytes.
const maxWholeAnswer = 16 << 20

// backend sends attempts to servers.
type backend struct {
	pool    *exchange.Pool
	codec   Codec
	tracker *Tracker
}

// open sends the request and returns the response with its decoded statement.
func (b *backend) open(ctx context.Context, j *job, c *choice, lastEvent string) (*exchange.Response, Answer, *failure.Failure) {
	req := &exchange.Request{
		Method: j.method,
		Target: j.target,
		Host:   j.host,
		Header: b.codec.Forward(j.header, Hop{
			ServerID: c.server.ID, Remaining: j.remaining(time.Now()), Priority: -1, LastEventID: lastEvent,
		}),
		Body:  j.body,
		Fresh: !j.route.Repeatable(),
		Owns: func(h http.Header) bool {
			id := b.codec.Answer(http.StatusOK, h).RequestID
			return id == "" || id == j.meta.RequestID
		},
	}
	resp, err := b.pool.Send(ctx, c.server.Address, req)
	if err != nil {
		return nil, Answer{}, failure.From(err)
	}
	answer := b.codec.Answer(resp.Status, resp.Header)
	b.tracker.Reported(c.server.ID, answer.Load, time.Now())
	if answer.NotRun {
		defer resp.Close()
		// The body is read so that the connection can be used again; its loss changes nothing.
		_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxWholeAnswer))
		return nil, answer, refusal(resp.Status)
	}
	return resp, answer, nil
}

func refusal(status int) *failure.Failure {
	if status == http.StatusMisdirectedRequest {
		return failure.New(failure.WrongIncarnation, failure.NotRun, "another server, or one without the model, is at the address")
	}
	return failure.New(failure.Overloaded, failure.NotRun, "the server refused the request")
}

// readWhole reads a complete answer. Answers without a signature are no answers of a server.
func readWhole(resp *exchange.Response, answer Answer) attempt {
	defer resp.Close()
	body, err := io.ReadAll(io.LimitReader(resp, maxWholeAnswer+1))
	switch {
	case err != nil:
		return attempt{fail: failure.From(err)}
	case len(body) > maxWholeAnswer:
		return attempt{fail: failure.New(failure.BodyTooLarge, failure.Ran, "the answer is too long")}
	case !answer.Signed || resp.Header.Get("Content-Encoding") != "":
		return attempt{fail: failure.New(failure.FrameMismatch, failure.Unknown, "the response is not a server's own")}
	}
	whole := &wholeAnswer{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= http.StatusInternalServerError {
		return attempt{whole: whole, fail: failure.New(failure.EngineFailed, failure.Ran, "the server failed the request")}
	}
	return attempt{whole: whole}
}
