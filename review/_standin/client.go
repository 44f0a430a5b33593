package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// reply is the answer to a request as its client sees it.
type reply struct {
	id     string
	status int
	header http.Header
	body   string
	// complete is set if the whole answer arrived.
	complete bool
	err      error
	took     time.Duration
}

// call is a request of a client.
type call struct {
	id     string
	method string
	path   string
	body   string
	header [][2]string
	// timeout is how long the client waits; it is sent as the deadline.
	timeout time.Duration
}

const host = "front.example"

// send sends a request on a new connection and reads the answer.
func send(n names, address string, c call) reply {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{id: c.id, err: err, took: time.Since(began)}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(c.timeout))
	if _, err := io.WriteString(conn, c.encode(n)); err != nil {
		return reply{id: c.id, err: err, took: time.Since(began)}
	}
	out := readReply(bufio.NewReader(conn), c)
	out.took = time.Since(began)
	return out
}

func (c *call) encode(n names) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", c.method, c.path, host,
		n.get("request_id"), c.id, n.get("deadline"), c.timeout.Milliseconds())
	for _, h := range c.header {
		b.WriteString(h[0] + ": " + h[1] + "\r\n")
	}
	if c.body != "" || c.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n" + c.body)
	return b.String()
}

func readReply(in *bufio.Reader, c call) reply {
	out := reply{id: c.id}
	resp, err := http.ReadResponse(in, &http.Request{Method: c.method})
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	out.body, out.err, out.complete = string(body), err, err == nil
	return out
}
