package frame

import (
	"bufio"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// Reader reads and verifies the frames of one response. It is not safe for concurrent use.
type Reader struct {
	conn         *errorRecorder
	buffered     *bufio.Reader
	ident        Ident
	seq          uint64
	payloadBytes uint64
	digest       *xxhash.Digest
	accepted     bool
	complete     bool
	err          error
	lamport      uint64
}

// NewReader returns a reader of the response that ident identifies.
func NewReader(in io.Reader, ident Ident) *Reader {
	conn := &errorRecorder{r: in}
	return &Reader{conn: conn, buffered: bufio.NewReader(conn), ident: ident, digest: xxhash.New()}
}

// Next returns the next accepted, data or end frame, and io.EOF after the end frame.
// A Fail frame is returned as a failure with the agent's code and outcome. Other failures have code
// Truncated, FrameMismatch or ChecksumMismatch and outcome Unknown.
// After an error, Next returns the same error again.
func (r *Reader) Next() (*ferrypb.Frame, error) {
	if r.err != nil {
		return nil, r.err
	}
	if r.complete {
		return nil, io.EOF
	}
	f, err := r.next()
	if err != nil {
		r.err = err
		return nil, err
	}
	return f, nil
}

// Complete reports whether the end frame was read and verified.
func (r *Reader) Complete() bool { return r.complete }

// Lamport returns the highest Lamport timestamp of the frames read so far.
func (r *Reader) Lamport() uint64 { return r.lamport }

// Drained reports whether the response body ended right after the end frame; only then may the connection be reused.
func (r *Reader) Drained() bool {
	if !r.complete {
		return false
	}
	_, err := r.buffered.ReadByte()
	return err == io.EOF
}

func (r *Reader) next() (*ferrypb.Frame, error) {
	f := &ferrypb.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	if err := options.UnmarshalFrom(r.buffered, f); err != nil {
		return nil, r.decodeFailure(err)
	}
	if err := r.verifyIdent(f); err != nil {
		return nil, err
	}
	r.seq++
	r.lamport = max(r.lamport, f.GetLamport())
	return f, r.verifyBody(f)
}

func (r *Reader) decodeFailure(err error) error {
	if r.conn.err != nil {
		return failure.Wrap(failure.Truncated, failure.Unknown, fmt.Sprintf("exec response ended without an end frame after %d frames", r.seq), err)
	}
	return failure.Wrap(failure.FrameMismatch, failure.Unknown, fmt.Sprintf("cannot decode frame %d", r.seq), err)
}

func (r *Reader) verifyIdent(f *ferrypb.Frame) error {
	if f.GetRequestId() != r.ident.RequestID || f.GetAttemptId() != r.ident.AttemptID {
		return mismatch(fmt.Sprintf("frame belongs to another request or attempt, want request %q, attempt %q", r.ident.RequestID, r.ident.AttemptID))
	}
	if r.seq == 0 && r.ident.Incarnation == "" {
		r.ident.Incarnation = f.GetIncarnation()
	}
	if f.GetIncarnation() != r.ident.Incarnation && !r.isSuccessorRefusal(f) {
		return mismatch(fmt.Sprintf("frame of agent incarnation %.64q, want %q", f.GetIncarnation(), r.ident.Incarnation))
	}
	if f.GetSeq() != r.seq {
		return mismatch(fmt.Sprintf("frame has sequence number %d, want %d", f.GetSeq(), r.seq))
	}
	return nil
}

// isSuccessorRefusal reports whether the first frame is a WrongIncarnation failure from another incarnation at the
// same address. The attempt was sent only to that process, so its refusal proves that the request was not run.
func (r *Reader) isSuccessorRefusal(f *ferrypb.Frame) bool {
	return r.seq == 0 && f.GetFail().GetCode() == string(failure.WrongIncarnation)
}

func (r *Reader) verifyBody(f *ferrypb.Frame) error {
	switch body := f.GetBody().(type) {
	case *ferrypb.Frame_Accepted:
		return r.verifyAccepted()
	case *ferrypb.Frame_Data:
		return r.verifyData(body.Data)
	case *ferrypb.Frame_End:
		return r.verifyEnd(body.End)
	case *ferrypb.Frame_Fail:
		return r.convertFail(body.Fail)
	default:
		return mismatch(fmt.Sprintf("frame %d has no body of a known type", f.GetSeq()))
	}
}

func (r *Reader) verifyAccepted() error {
	if r.accepted {
		return mismatch("second accepted frame")
	}
	r.accepted = true
	return nil
}

func (r *Reader) verifyData(d *ferrypb.Data) error {
	if !r.accepted {
		return mismatch("data frame before the accepted frame")
	}
	r.payloadBytes += uint64(len(d.GetPayload()))
	// Digest.Write never fails.
	_, _ = r.digest.Write(d.GetPayload())
	return nil
}

func (r *Reader) verifyEnd(e *ferrypb.End) error {
	if !r.accepted {
		return mismatch("end frame before the accepted frame")
	}
	if e.GetBytes() != r.payloadBytes || e.GetFrames() != r.seq {
		return failure.New(failure.Truncated, failure.Unknown, fmt.Sprintf("end frame counts %d bytes in %d frames, received %d bytes in %d frames",
			e.GetBytes(), e.GetFrames(), r.payloadBytes, r.seq))
	}
	if e.GetChecksum() != r.digest.Sum64() {
		return failure.New(failure.ChecksumMismatch, failure.Unknown, fmt.Sprintf("response checksum is %x, end frame has %x",
			r.digest.Sum64(), e.GetChecksum()))
	}
	r.complete = true
	return nil
}

// convertFail converts a Fail frame to a failure. An outcome not_run contradicts an earlier accepted frame, so it
// becomes unknown: a wrong not_run would permit a retry, which runs the request twice.
func (r *Reader) convertFail(f *ferrypb.Fail) error {
	outcome := failure.ParseOutcome(f.GetOutcome())
	if r.accepted && outcome == failure.NotRun {
		outcome = failure.Unknown
	}
	code := failure.Code(f.GetCode())
	if code == "" {
		code = failure.Internal
	}
	retryAfter := time.Duration(max(f.GetRetryAfterMillis(), 0)) * time.Millisecond
	return failure.New(code, outcome, f.GetMessage()).WithRetryAfter(retryAfter)
}

func mismatch(message string) error {
	return failure.New(failure.FrameMismatch, failure.Unknown, message)
}
