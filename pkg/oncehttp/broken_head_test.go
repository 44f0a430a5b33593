package oncehttp

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/repeater"
)

// sendTo sends a request to a server that writes the text as its response, and returns the response with its body.
func sendTo(t *testing.T, text string) (*http.Response, string, error) {
	t.Helper()
	server, err := repeater.Start(text)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	resp, err := New(NewSingleUseClient()).Send(ctx, Request{Method: http.MethodPost, URL: "http://" + server.Addr(), Body: []byte("x")})
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// Guards against a response with a status that HTTP does not have.
func TestStatusOutsideHTTPIsNoResponse(t *testing.T) {
	for _, status := range []string{"000 ", "000 OK", "099 OK", "+20 OK", "-00 OK", "600 OK", "999 OK"} {
		resp, body, err := sendTo(t, "HTTP/1.1 "+status+"\r\nContent-Length: 4\r\n\r\nfull")
		if f := failure.From(err); err == nil || f.Code != failure.FrameMismatch || f.Outcome != failure.Unknown {
			t.Errorf("status %q: response %+v with body %q, error %v, want code %s and outcome %s", status, resp, body, err, failure.FrameMismatch, failure.Unknown)
		}
	}
}

// Guards against a response with a blank or a control byte in the name of a field of its head or trailer.
func TestFieldNameThatIsNoTokenIsNoResponse(t *testing.T) {
	for _, name := range []string{"Content-Length ", "Transfer-Encoding ", "X Y", "X\t", "X\x01", "X\x7f", ""} {
		for where, text := range map[string]string{
			"head":             name + ": 2\r\nContent-Length: 4\r\n\r\nfull",
			"without a length": name + ": 2\r\nConnection: close\r\n\r\nfull",
			"trailer":          "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n" + name + ": 2\r\n\r\n",
		} {
			resp, body, err := sendTo(t, "HTTP/1.1 200 OK\r\n"+text)
			if err == nil || failure.From(err).Code == failure.DeadlineExceeded {
				t.Errorf("field %q, %s: response %+v with body %q, error %v, want a failure before the deadline", name, where, resp, body, err)
			}
		}
	}
	resp, body, err := sendTo(t, "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: v\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\nX~: 2\r\n\r\n")
	if err != nil || body != "full" || resp.Header.Get("!#$%&'*+-.^_`|~09aZ") != "v" {
		t.Errorf("fields that HTTP allows: response %+v with body %q, error %v, want the response", resp, body, err)
	}
}
