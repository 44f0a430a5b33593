package oncehttp

import (
	"net"
	"net/http"
	"time"
)

const (
	// connectTimeout bounds a connect; longer waits than this exceed the first-token target.
	connectTimeout = 500 * time.Millisecond
	// idleTimeout is below common server idle timeouts, so that servers rarely close a connection that is about to be used.
	idleTimeout = 15 * time.Second
	// maxIdlePerHost keeps the connections of a full engine batch.
	maxIdlePerHost = 64
)

// NewClient returns an HTTP client without a total time limit and without proxies.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
	}}
}
