package oncehttp

import (
	"net"
	"net/http"
	"time"
)

const (
	// connectTimeout is the dial timeout; a longer wait would miss the first-token latency target.
	connectTimeout = 500 * time.Millisecond
	// idleTimeout is below common idle timeouts of servers, so that a server rarely closes a connection that is about
	// to be reused.
	idleTimeout = 15 * time.Second
	// maxIdlePerHost is large enough to keep the connections of a full engine batch.
	maxIdlePerHost = 64
	// MaxHeaderBytes bounds the header of a response, informational responses included; the default of net/http is 10
	// MB for each response.
	MaxHeaderBytes = 256 << 10
)

// NewClient returns an HTTP client without a total timeout, because that would end streams, and without proxies. Responses
// that are not valid HTTP fail their requests.
func NewClient() *http.Client { return &http.Client{Transport: verifyingTransport{newTransport()}} }

// NewSingleUseClient is NewClient with a connection of its own for each request: a faulty server may write a response a
// second time, late, and on a connection in use again it would pass for the response to the next request.
func NewSingleUseClient() *http.Client {
	transport := newTransport()
	transport.DisableKeepAlives = true
	return &http.Client{Transport: verifyingTransport{transport}}
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,

		MaxResponseHeaderBytes: MaxHeaderBytes,
	}
}
