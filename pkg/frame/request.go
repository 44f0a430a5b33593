package frame

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// WriteRequest writes the request message. The caller then writes exactly BodyBytes bytes of body.
func WriteRequest(w io.Writer, request *ferrypb.ExecRequest) error {
	_, err := protodelim.MarshalTo(w, request)
	if err != nil {
		return failure.Wrap(failure.ConnectionLost, failure.Unknown, "exec request not written", err)
	}
	return nil
}

// ReadRequest reads the request message. The returned reader gives the body and
// fails with io.ErrUnexpectedEOF when the connection ends before BodyBytes bytes.
// Errors are failures with code BadRequest and outcome NotRun.
func ReadRequest(r *bufio.Reader) (*ferrypb.ExecRequest, io.Reader, error) {
	request := &ferrypb.ExecRequest{}
	options := protodelim.UnmarshalOptions{MaxSize: MaxRequestBytes}
	if err := options.UnmarshalFrom(r, request); err != nil {
		return nil, nil, failure.Wrap(failure.BadRequest, failure.NotRun, "exec request does not decode", err)
	}
	if request.GetRequestId() == "" || request.GetAttemptId() == "" {
		return nil, nil, failure.New(failure.BadRequest, failure.NotRun, "exec request without ids")
	}
	if request.GetBodyBytes() < 0 {
		return nil, nil, failure.New(failure.BadRequest, failure.NotRun, "exec request with a negative body size")
	}
	return request, &body{r: r, left: request.GetBodyBytes()}, nil
}
