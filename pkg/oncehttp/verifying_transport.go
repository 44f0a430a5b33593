package oncehttp

import (
	"net/http"

	"trefoilferry.example/ferry/pkg/httpvalid"
)

// verifyingTransport fails requests whose responses are not valid HTTP, see httpvalid.CheckResponse.
type verifyingTransport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t verifyingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := httpvalid.CheckResponse(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
