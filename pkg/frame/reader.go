package frame

import (
	"bufio"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// Reader reads and verifies the frames of one answer. It is not safe for concurrent use.
type Reader struct {
	source   *source
	in       *bufio.Reader
	ident    Ident
	seq      uint64
	bytes    uint64
	digest   *xxhash.Digest
	accepted bool
	complete bool
	failed   error
	lamport  uint64
}

// NewReader returns a reader for the answer named by ident.
func NewReader(in io.Reader, ident Ident) *Reader {
	s := &source{r: in}
	return &Reader{source: s, in: bufio.NewReader(s), ident: ident, digest: xxhash.New()}
}

// Next returns the next accepted, data or end frame. After the end frame it returns io.EOF.
// A Fail frame is returned as a failure with the agent's code and outcome. Other failures have code
// Truncated, FrameMismatch or ChecksumInvalid and outcome Unknown. An error is final.
func (r *Reader) Next() (*ferrypb.Frame, error) {
	if r.failed != nil {
		return nil, r.failed
	}
	if r.complete {
		return nil, io.EOF
	}
	f, err := r.next()
	if err != nil {
		r.failed = err
		return nil, err
	}
	return f, nil
}

// Complete reports whether the end frame was read and verified.
func (r *Reader) Complete() bool { return r.complete }

// Lamport returns the highest Lamport time of the frames read.
func (r *Reader) Lamport() uint64 { return r.lamport }

// Drained reports whether the connection ended right after the end frame; only then it may be reused.
func (r *Reader) Drained() bool {
	if !r.complete {
		return false
	}
	_, err := r.in.ReadByte()
	return err == io.EOF
}

func (r *Reader) next() (*ferrypb.Frame, error) {
	f := &ferrypb.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	if err := options.UnmarshalFrom(r.in, f); err != nil {
		return nil, r.readFailure(err)
	}
	if err := r.verifyIdent(f); err != nil {
		return nil, err
	}
	r.seq++
	r.lamport = max(r.lamport, f.GetLamport())
	return f, r.verifyBody(f)
}

func (r *Reader) readFailure(err error) error {
	if r.source.err != nil {
		return failure.Wrap(failure.Truncated, failure.Unknown, "answer ended before its end frame", err)
	}
	return failure.Wrap(failure.FrameMismatch, failure.Unknown, "frame does not decode", err)
}

func (r *Reader) verifyIdent(f *ferrypb.Frame) error {
	if f.GetRequestId() != r.ident.RequestID || f.GetAttemptId() != r.ident.AttemptID {
		return mismatch("frame of another request or attempt")
	}
	if r.seq == 0 && r.ident.Incarnation == "" {
		r.ident.Incarnation = f.GetIncarnation()
	}
	if f.GetIncarnation() != r.ident.Incarnation && !r.successorRefuses(f) {
		return mismatch("frame of another agent incarnation")
	}
	if f.GetSeq() != r.seq {
		return mismatch("frame out of sequence")
	}
	return nil
}

// successorRefuses reports whether the first frame is the refusal of another incarnation at the same address. The
// attempt was sent to that process only, so its refusal is evidence that the request was not run.
func (r *Reader) successorRefuses(f *ferrypb.Frame) bool {
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
		return r.agentFailure(body.Fail)
	default:
		return mismatch("frame without a known body")
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
		return mismatch("data before the accepted frame")
	}
	r.bytes += uint64(len(d.GetPayload()))
	// Digest.Write never fails.
	_, _ = r.digest.Write(d.GetPayload())
	return nil
}

func (r *Reader) verifyEnd(e *ferrypb.End) error {
	if !r.accepted {
		return mismatch("end before the accepted frame")
	}
	if e.GetBytes() != r.bytes || e.GetFrames() != r.seq {
		return failure.New(failure.Truncated, failure.Unknown, "end frame counts other bytes or frames than were read")
	}
	if e.GetChecksum() != r.digest.Sum64() {
		return failure.New(failure.ChecksumInvalid, failure.Unknown, "checksum of the answer differs")
	}
	r.complete = true
	return nil
}

// agentFailure converts a Fail frame. A not_run after the accepted frame contradicts it and counts as
// unknown, because a wrong not_run would permit a second run.
func (r *Reader) agentFailure(f *ferrypb.Fail) error {
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
