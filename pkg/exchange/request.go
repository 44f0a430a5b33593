package exchange

import (
	"bytes"
	"net/http"
	"strconv"
)

// Request is one request to a backend server.
type Request struct {
	Method string
	// Target is the request target as sent in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is what the responses name the request by; empty if they name none. Attempts of one request share it, so no
	// connection carries it twice: a second copy of the response to one attempt could pass for that to another.
	ID string
	// Matches reports whether a response with this header belongs to the request; nil accepts every response.
	Matches func(http.Header) bool
	// Unnamed reports whether a response with this header names no request, in a protocol whose responses do; nil if they
	// never do. Such a response belongs to the request if its connection has carried no other one. On a kept connection it
	// may be a second copy of an earlier response, so it is skipped like one that Matches rejects.
	Unnamed func(http.Header) bool
	// FreshConn requires a connection that is new or was used within maxFreshIdle: a server may drop an idle connection
	// without notice, and then it is unknown whether the request was executed.
	FreshConn bool
	// UnusedConn requires a connection that has carried no request, for a call whose responses name no request: on any
	// other one, a second copy of an earlier response could pass for its own.
	UnusedConn bool
	// SingleUse is UnusedConn with a connection that carries no other request afterwards either, for a server whose
	// responses never name their request.
	SingleUse bool
	// MaxIdle bounds the idle connections to the server that are kept when the response is complete; 0 for the default.
	MaxIdle int
	// Sending is called before the first byte of the request is sent; nil for none.
	Sending func()
}

// encodeHead returns the bytes of the request before its body, with room for a small one.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	size := headBytesEstimate
	if len(r.Body) <= maxSyncWriteBytes {
		size += len(r.Body)
	}
	b.Grow(size)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if r.SingleUse {
		b.WriteString("Connection: close\r\n")
	}
	// Writing to a bytes.Buffer cannot fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// headBytesEstimate is the usual size of a request head; it saves reallocations.
const headBytesEstimate = 768
