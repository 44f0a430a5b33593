package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// namedRequest returns a request to a server whose responses name their request. Its Matches accepts unnamed responses
// as well, so that only Unnamed tells them apart.
func namedRequest(id string) *Request {
	req := request(id, "x")
	req.ID = id
	req.Matches = func(h http.Header) bool { return h.Get("Id") == "" || h.Get("Id") == id }
	req.Unnamed = func(h http.Header) bool { return h.Get("Id") == "" }
	return req
}

const unnamedRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"

// Guards against a refusal of an earlier request, written once more without a request id, that is taken for the response
// to the current one: its caller was told that the request had not run although it had.
func TestUnnamedCopyOfEarlierResponseIsSkipped(t *testing.T) {
	const chunkedRefusal = "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"
	for name, copied := range map[string]string{
		"with a length": unnamedRefusal, "in chunks": chunkedRefusal, "twice": unnamedRefusal + unnamedRefusal,
		"success": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPool()
			address := serveScript(t, respond(okResponse("a", "one")), respond(copied+okResponse("b", "two")))
			for _, want := range []struct{ id, body string }{{"a", "one"}, {"b", "two"}} {
				if body, err := exchangeOnce(t, p, address, namedRequest(want.id)); err != nil || body != want.body {
					t.Errorf("response to request %s: %q, %v, want %q", want.id, body, err, want.body)
				}
			}
			if p.TotalOpened() != 1 {
				t.Errorf("%d connections opened, want one", p.TotalOpened())
			}
		})
	}
}

// Guards against using the status or body of a response that names no request when no other one follows on a kept
// connection.
func TestUnnamedResponseOnKeptConnectionLeavesTheOutcomeUnknown(t *testing.T) {
	for name, text := range map[string]string{
		"refusal":          unnamedRefusal,
		"without a length": "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\nfull",
		"too many":         unnamedRefusal + unnamedRefusal + unnamedRefusal,
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPool()
			address := serveScript(t, respond(okResponse("a", "one")), respondAndClose(text))
			if _, err := exchangeOnce(t, p, address, namedRequest("a")); err != nil {
				t.Fatal(err)
			}
			body, err := exchangeOnce(t, p, address, namedRequest("b"))
			if f := failure.From(err); err == nil || f.Outcome != failure.Unknown {
				t.Errorf("response %q, %v, want outcome %s", body, err, failure.Unknown)
			}
			if p.OpenConns() != 0 {
				t.Errorf("open connections: %d, want 0", p.OpenConns())
			}
		})
	}
}

// Guards against failing, or leaving to their deadline, the requests to a sound server whose responses name no request.
func TestServerThatNamesNoRequestIsServedOnNewConnections(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	p := NewPool()
	address := serveScript(t, respond(answer), respond(answer), respond(answer))
	for _, id := range []string{"a", "b", "c"} {
		if body, err := exchangeOnce(t, p, address, namedRequest(id)); err != nil || body != "ok" {
			t.Errorf("response to request %s: %q, %v, want ok", id, body, err)
		}
	}
	if p.TotalOpened() != 3 || p.OpenConns() != 0 {
		t.Errorf("%d connections opened and %d open, want 3 and 0", p.TotalOpened(), p.OpenConns())
	}
}

// Guards against using an unnamed response on a connection that only calls without ids have used before: the response
// may be a second copy of the one to such a call.
func TestUnnamedResponseAfterAnUnnamedCallIsSkipped(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncall"
	p := NewPool()
	address := serveScript(t, respond(answer), respond(answer+okResponse("b", "two")))
	call := request("", "x")
	call.Matches = nil
	if body, err := exchangeOnce(t, p, address, call); err != nil || body != "call" {
		t.Fatalf("response to the call: %q, %v, want call", body, err)
	}
	if body, err := exchangeOnce(t, p, address, namedRequest("b")); err != nil || body != "two" {
		t.Errorf("response to the request: %q, %v, want two", body, err)
	}
}

// Guards against taking bytes for the response that reach an idle connection after it was checked and before the
// request is sent.
func TestUnnamedBytesAfterTheIdleCheckAreNoResponse(t *testing.T) {
	p := NewPool()
	checked, copied := make(chan struct{}), make(chan struct{})
	address := serveScript(t, func(c net.Conn, in *bufio.Reader) {
		respond(okResponse("a", "one"))(c, in)
		<-checked
		_, _ = io.WriteString(c, unnamedRefusal)
		close(copied)
	}, respond(okResponse("b", "two")))
	if _, err := exchangeOnce(t, p, address, namedRequest("a")); err != nil {
		t.Fatal(err)
	}
	c := p.takeIdle(address, namedRequest("b"), time.Now())
	if c == nil {
		t.Fatal("the connection is not idle")
	}
	defer func() { _ = c.Close() }()
	close(checked)
	<-copied
	a, err := c.roundTrip(t.Context(), namedRequest("b"), p.Budget().Share())
	if err != nil || a.status != http.StatusOK {
		t.Errorf("response %+v, %v, want status 200", a, err)
	}
}

// Guards against a request that runs twice: a server refuses its first attempt and writes the refusal once more, late, where
// the response to the next attempt is due. Both attempts have the same id and go to the same address, so that the copy
// passed for a refusal of the server that ran the request.
func TestCopyOfTheResponseToAnEarlierAttemptIsNotTheAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 421 Misdirected Request\r\nId: a\r\nContent-Length: 0\r\n\r\n"
	for name, between := range map[string][]string{"on the next request": nil, "after another request": {"b"}} {
		t.Run(name, func(t *testing.T) {
			var first net.Conn
			steps := []func(net.Conn, *bufio.Reader){func(c net.Conn, in *bufio.Reader) {
				first = c
				respond(refusal)(c, in)
			}}
			for _, id := range between {
				steps = append(steps, respond(okResponse(id, "other")))
			}
			steps = append(steps, func(c net.Conn, in *bufio.Reader) {
				copied := ""
				if c == first {
					copied = refusal
				}
				respond(copied+okResponse("a", "ran"))(c, in)
			})
			p, address := NewPool(), serveScript(t, steps...)
			for _, id := range append([]string{"a"}, between...) {
				if _, err := exchangeOnce(t, p, address, namedRequest(id)); err != nil {
					t.Fatal(err)
				}
			}
			if body, err := exchangeOnce(t, p, address, namedRequest("a")); err != nil || body != "ran" {
				t.Errorf("response to the second attempt: %q, %v, want that of the server that ran it", body, err)
			}
		})
	}
}

// Guards against a connection whose memory grows with each request that it carries.
func TestConnectionIsReplacedBeforeItRemembersTooManyRequests(t *testing.T) {
	const requests = 3 * maxCarriedIDs
	var steps []func(net.Conn, *bufio.Reader)
	for range requests {
		steps = append(steps, func(c net.Conn, in *bufio.Reader) {
			if r, err := http.ReadRequest(in); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, okResponse(r.Header.Get("Id"), "ok"))
			}
		})
	}
	p, address := NewPool(), serveScript(t, steps...)
	for n := range requests {
		req := namedRequest(strconv.Itoa(n))
		req.Header.Set("Id", req.ID)
		if body, err := exchangeOnce(t, p, address, req); err != nil || body != "ok" {
			t.Fatalf("response to request %d: %q, %v, want ok", n, body, err)
		}
	}
	if n := p.TotalOpened(); n != 3 {
		t.Errorf("%d connections opened for %d requests, want one for each %d", n, requests, maxCarriedIDs)
	}
}
