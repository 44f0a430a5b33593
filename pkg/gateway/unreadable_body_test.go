package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"syscall"
	"testing"

	"trefoilferry.example/ferry/pkg/failure"
)

// Guards against an answer to a caller that has gone, and against none to one that is still there.
func TestOnlyABrokenConnectionLeavesABodyUnanswered(t *testing.T) {
	for _, c := range []struct {
		err  error
		want failure.Code
	}{
		{&net.OpError{Op: "read", Err: syscall.ECONNRESET}, failure.ClientCancelled},
		{fmt.Errorf("body: %w", &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}), failure.ClientCancelled},
		{io.ErrUnexpectedEOF, failure.BadRequest},
		{io.EOF, failure.BadRequest},
		{errors.New("malformed chunked encoding"), failure.BadRequest},
	} {
		if f := unreadableBody(httptest.NewRecorder(), c.err); f.Code != c.want || f.Outcome != failure.NotRun {
			t.Errorf("%v: code %s and outcome %s, want %s and %s", c.err, f.Code, f.Outcome, c.want, failure.NotRun)
		}
	}
}
