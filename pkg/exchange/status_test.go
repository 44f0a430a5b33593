package exchange

import (
	"strconv"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Guards against a response with a status that HTTP does not have. One below 100 passed for an informational response, so
// that its body was read as the head of the response.
func TestStatusOutsideHTTPFailsTheRequest(t *testing.T) {
	const fields = "Id: a\r\nContent-Length: 4\r\n\r\nfull"
	for name, text := range map[string]string{
		"000":                    "HTTP/1.1 000 \r\n" + fields,
		"000 without a reason":   "HTTP/1.1 000\r\n" + fields,
		"000 without a length":   "HTTP/1.1 000 OK\r\nId: a\r\n\r\n",
		"099":                    "HTTP/1.1 099 OK\r\n" + fields,
		"with a sign":            "HTTP/1.1 +20 OK\r\n" + fields,
		"negative zero":          "HTTP/1.1 -00 OK\r\n" + fields,
		"600":                    "HTTP/1.1 600 OK\r\n" + fields,
		"999":                    "HTTP/1.1 999 OK\r\n" + fields,
		"before a response":      "HTTP/1.1 000 OK\r\n\r\n" + okResponse("a", "body"),
		"head of a response":     "HTTP/1.1 000 OK\r\nContent-Length: 50\r\n\r\n" + okResponse("a", "body"),
		"after an informational": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + fields,
	} {
		t.Run(name, func(t *testing.T) {
			p, began := NewPool(), time.Now()
			body, err := exchangeOnce(t, p, serveScript(t, respond(text)), request("a", "x"))
			if f := failure.From(err); err == nil || f.Code != failure.FrameMismatch || f.Outcome != failure.Unknown {
				t.Errorf("response %q, error %v after %v, want code %s and outcome %s", body, err, time.Since(began), failure.FrameMismatch, failure.Unknown)
			}
			if p.OpenConns() != 0 {
				t.Errorf("open connections: %d, want 0", p.OpenConns())
			}
		})
	}
}

// Guards against a failure for a status that HTTP has, also for one without a meaning.
func TestEveryStatusOfHTTPIsReceived(t *testing.T) {
	for status := 200; status <= 599; status++ {
		text := "HTTP/1.1 " + strconv.Itoa(status) + "\r\nId: a\r\nContent-Length: 0\r\n\r\n"
		resp, err := NewPool().Send(t.Context(), serveScript(t, respond(text)), request("a", "x"))
		if err != nil {
			t.Errorf("status %d: %v, want it received", status, err)
			continue
		}
		if resp.Close(); resp.Status != status {
			t.Errorf("status %d, want %d", resp.Status, status)
		}
	}
}
