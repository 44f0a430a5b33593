package exchange

import (
	"testing"

	"trefoilferry.example/ferry/pkg/failure"
)

// notTokens are names that HTTP does not allow for a field.
var notTokens = []string{
	"Content-Length ", "Transfer-Encoding ", "X Y", "X ", "X\t", "X\tY", "X\x00", "X\x01Y", "X\x0b", "X\x1f", "X\x7f", "X\rY", "X\xe9", "X(Y)", "X\"", "",
}

// Guards against a response in whose head or trailer a field name has a blank, a control byte or another byte that HTTP does
// not allow. net/http reads a name with a blank as a field of its own: a length with such a name was not applied, so that
// the body ended with the connection.
func TestFieldNameThatIsNoTokenFailsTheRequest(t *testing.T) {
	const status, interim = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n"
	for _, name := range notTokens {
		field := name + ": 2\r\n"
		for where, text := range map[string]string{
			"first":              status + field + "Id: a\r\nContent-Length: 4\r\n\r\nfull",
			"last":               status + "Id: a\r\nContent-Length: 4\r\n" + field + "\r\nfull",
			"without a length":   status + "Id: a\r\n" + field + "\r\nfull",
			"informational head": interim + field + "\r\n" + okResponse("a", "full"),
			"trailer":            status + "Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n" + field + "\r\n",
			"empty trailer":      status + "Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n" + name + ":\r\n\r\n",
		} {
			p := NewPool()
			body, err := exchangeOnce(t, p, serveScript(t, respondAndClose(text)), request("a", "x"))
			if f := failure.From(err); err == nil || f.Outcome != failure.Unknown {
				t.Errorf("field %q, %s: response %q, error %v, want a failure with outcome %s", name, where, body, err, failure.Unknown)
			}
			if p.OpenConns() != 0 {
				t.Errorf("field %q, %s: open connections: %d, want 0", name, where, p.OpenConns())
			}
		}
	}
}

// Guards against a failure for a field name that HTTP allows.
func TestEveryTokenIsAFieldName(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for _, c := range token {
		name := string(c)
		text := "HTTP/1.1 200 OK\r\nId: a\r\n" + name + ": v\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n" + name + "t: v\r\n\r\n"
		if body, err := exchangeOnce(t, NewPool(), serveScript(t, respond(text)), request("a", "x")); err != nil || body != "full" {
			t.Errorf("field %q: response %q, error %v, want the body", name, body, err)
		}
	}
	resp, err := NewPool().Send(t.Context(), serveScript(t, respond("HTTP/1.1 200 OK\r\nId: a\r\n"+token+":v\r\nContent-Length: 0\r\n\r\n")), request("a", "x"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if got := resp.Header.Get(token); got != "v" {
		t.Errorf("field with all bytes of a token: %q, want v", got)
	}
}
