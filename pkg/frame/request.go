package frame

import (
	"bufio"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// WriteRequest writes the request message. The caller must then write exactly BodyBytes bytes of body.
// Its failure has code ConnectionLost and outcome Unknown.
func WriteRequest(w io.Writer, request *ferrypb.ExecRequest) error {
	_, err := protodelim.MarshalTo(w, request)
	if err != nil {
		return failure.Wrap(failure.ConnectionLost, failure.Unknown, "failed to write exec request", err)
	}
	return nil
}

// ReadRequest reads the request message. The returned reader yields the body and
// returns io.ErrUnexpectedEOF if the connection ends before BodyBytes bytes.
// Errors are failures with code BadRequest and outcome NotRun.
func ReadRequest(r *bufio.Reader) (*ferrypb.ExecRequest, io.Reader, error) {
	request := &ferrypb.ExecRequest{}
	options := protodelim.UnmarshalOptions{MaxSize: MaxRequestBytes}
	if err := options.UnmarshalFrom(r, request); err != nil {
		return nil, nil, failure.Wrap(failure.BadRequest, failure.NotRun, "cannot decode exec request", err)
	}
	if request.GetRequestId() == "" || request.GetAttemptId() == "" {
		return nil, nil, failure.New(failure.BadRequest, failure.NotRun, fmt.Sprintf("exec request lacks an id: request id %.64q, attempt id %.64q", request.GetRequestId(), request.GetAttemptId()))
	}
	if request.GetBodyBytes() < 0 {
		return nil, nil, failure.New(failure.BadRequest, failure.NotRun, fmt.Sprintf("exec request has a negative body size: %d", request.GetBodyBytes()))
	}
	return request, &bodyReader{r: r, remaining: request.GetBodyBytes()}, nil
}
