package exchange

import (
	"strings"
	"testing"
	"testing/iotest"

	"trefoilferry.example/ferry/pkg/failure"
)

// Load pattern: a server sends a head of short fields without end; decoded, 64 KB of them took 2 MB. Guards against such a
// head, also behind an informational response in one piece with it, and against a sound body that counts as a head.
func TestHeadsHaveFewFields(t *testing.T) {
	const interim, status = "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 200 OK\r\n"
	few := "Content-Length: 0\r\n" + strings.Repeat("a:\r\n", maxHeadFields-1)
	many := few + "a:\r\n"
	for _, c := range []struct {
		name, text string
		ok         bool
	}{
		{"as many fields as allowed", status + few + "\r\n", true},
		{"one more", status + many + "\r\n", false},
		{"bare line ends", "HTTP/1.1 200 OK\n" + strings.ReplaceAll(many, "\r", "") + "\n", false},
		{"behind an informational response", interim + status + many + "\r\n", false},
		{"informational response of many", "HTTP/1.1 103 Early Hints\r\n" + many + "\r\n" + status + few + "\r\n", false},
		{"body of many lines", status + "Content-Length: 4000\r\n\r\n" + strings.Repeat("data\n", 800), true},
		{"informational response and a body of many lines", interim + status + "Content-Length: 4000\r\n\r\n" + strings.Repeat("data\n", 800), true},
		{"as many informational responses as allowed", strings.Repeat(interim, maxInterimResponses) + status + "Content-Length: 0\r\n\r\n", true},
		{"one more informational response", strings.Repeat(interim, maxInterimResponses+1) + status + "Content-Length: 0\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			req := request("a", "x")
			req.Matches = nil
			_, err := exchangeOnce(t, NewPool(), serveScript(t, respond(c.text)), req)
			if (err == nil) != c.ok || (err != nil && failure.From(err).Outcome != failure.Unknown) {
				t.Errorf("%v, want it received: %v", err, c.ok)
			}
		})
	}
}

// Guards against a count that depends on how the head arrives.
func TestFieldsAreCountedInPieces(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\n" + strings.Repeat("a: b\r\n", maxHeadFields+1) + "\r\n"
	var f fieldCounter
	in, b, failed := iotest.OneByteReader(strings.NewReader(text)), make([]byte, 10), false
	for {
		n, err := in.Read(b)
		if err != nil {
			break
		}
		failed = failed || f.count(b[:n]) != nil
	}
	if !failed {
		t.Error("a head of too many fields in pieces of one byte was accepted")
	}
}
