package gateway

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/exchange"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/serverlimit"
	"trefoilferry.example/ferry/pkg/verdict"
)

// namedCodec reads the request id from the header Id, and a refusal from the header Refused.
type namedCodec struct{ Codec }

func (namedCodec) AttemptHeader(h http.Header, _ AttemptMeta) http.Header { return h }

func (namedCodec) DecodeResponse(status int, h http.Header) ResponseMeta {
	return ResponseMeta{RequestID: h.Get("Id"), Head: verdict.Response{Status: status, Declared: h.Get("Refused") != "", Signed: h.Get("Signed") != ""}}
}

// serveAnswers starts a server that writes answers[n] for the nth request of a connection and then closes it. It returns
// its address.
func serveAnswers(t *testing.T, answers ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for _, answer := range answers {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against telling a caller that its request was not run because a faulty server wrote an earlier refusal once
// more, without a request id: 12 of 30 requests that had run were refused so, and 5 of them ran twice.
func TestRefusalOfAnEarlierRequestIsNotTheAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nContent-Length: 0\r\n"
	const answer = "HTTP/1.1 200 OK\r\nId: b\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		second string
		served bool
	}{
		"the answer follows":  {refusal + "\r\n" + answer, true},
		"the connection ends": {refusal + "\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveAnswers(t, refusal+"Id: a\r\n\r\n", c.second)
			b := &backend{pool: exchange.NewPool(), codec: namedCodec{}, tracker: NewTracker(), limits: serverlimit.NewTable(rand.Float64), log: eventlog.Discard()}
			for _, id := range []string{"a", "b"} {
				j, server := modelJob(id, "", 10, 10), &choice{}
				j.deadline = time.Now().Add(5 * time.Second)
				j.method, j.target, j.host, j.header = "POST", "/x", "h", http.Header{}
				server.server.ID, server.server.Address = "r0", address
				resp, _, _, fail := b.send(t.Context(), j, server, "", nil)
				switch {
				case id == "a":
					if fail == nil || fail.Outcome != failure.NotRun {
						t.Errorf("first request: %v, want outcome %s", fail, failure.NotRun)
					}
				case c.served:
					if fail != nil || resp.Status != http.StatusOK {
						t.Errorf("second request: %v, want status 200", fail)
					}
				default:
					if fail == nil || fail.Outcome != failure.Unknown {
						t.Errorf("second request: %v, want outcome %s", fail, failure.Unknown)
					}
				}
				if resp != nil {
					resp.Close()
				}
			}
			if n := b.pool.TotalOpened(); n != 1 {
				t.Errorf("%d connections opened, want one", n)
			}
		})
	}
}
