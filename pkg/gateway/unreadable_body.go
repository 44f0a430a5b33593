package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
)

// unreadableBody returns the failure for a request body that cannot be read. A caller whose connection is broken gets no
// answer. One whose body ended early may have closed only its own side, so it gets one like a caller whose body is
// malformed, and the connection is closed after it.
func unreadableBody(w http.ResponseWriter, err error) *failure.Failure {
	var broken *net.OpError
	if errors.As(err, &broken) {
		return failure.Wrap(failure.ClientCancelled, failure.NotRun, "the caller's connection broke before the end of the request body", err)
	}
	closeGracefully(w)
	return failure.Wrap(failure.BadRequest, failure.NotRun, "the request body ended early or is malformed", err)
}

// closeGracefully makes net/http close the connection after the response, and only its own side at first. A connection
// that is closed with unread bytes is reset, which can destroy the response before the caller has read it. net/http
// offers this only for a request body beyond the limit of a MaxBytesReader.
func closeGracefully(w http.ResponseWriter) {
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0))
}
