package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one request of a client and what came of it.
type call struct {
	id      string
	gateway string
	host    string
	path    string
	model   string
	prefix  string
	method  string
	body    string
	timeout time.Duration

	sent   time.Duration
	status int
	answer string
	err    error
}

// send sends the request on a new connection and reads the whole answer.
func (c *call) send(n names, rec *recorder) {
	c.sent = rec.now()
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	method := c.method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.gateway+c.path, strings.NewReader(c.body))
	if err != nil {
		c.err = err
		return
	}
	req.Host = c.host
	req.Header.Set(n["request_id"], c.id)
	req.Header.Set(n["deadline"], fmt.Sprint(c.timeout.Milliseconds()))
	if c.model != "" {
		req.Header.Set(n["model"], c.model)
		req.Header.Set(n["tokens"], "900,48")
		req.Header.Set(n["prefix"], c.prefix)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		c.err = err
		return
	}
	defer resp.Body.Close()
	c.status = resp.StatusCode
	data, err := io.ReadAll(resp.Body)
	c.answer, c.err = string(data), err
}
