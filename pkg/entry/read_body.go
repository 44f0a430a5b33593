package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// readBody reads the whole body within the limits on size and time. After a failure it has the connection closed, so that
// the remaining bytes of the body are never read as another request.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *failure.Failure) {
	control := http.NewResponseController(w)
	// Setting deadlines fails only for response writers without a connection, as in tests.
	_ = control.SetReadDeadline(s.clock.Now().Add(s.settings.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.Limits.BodyBytes))
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, bodyFailure(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// bodyFailure converts an error in reading a body to a failure with a code for the caller.
func bodyFailure(err error) *failure.Failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failure.Wrap(failure.BodyTooLarge, failure.NotRun, "the request body is too large", err)
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return failure.Wrap(failure.RequestTimeout, failure.NotRun, "the request body did not arrive in time", err)
	}
	return failure.Wrap(failure.BadRequest, failure.NotRun, "the request body cannot be read", err)
}
