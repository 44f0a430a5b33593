package oncehttp

import (
	"io"
	"net/http"
	"testing"

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
	resp, err := New(NewSingleUseClient()).Send(t.Context(), Request{Method: http.MethodPost, URL: "http://" + server.Addr(), Body: []byte("x")})
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
