package frame

import (
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// Writer writes the frames of one response. It numbers them, computes the payload byte count and checksum,
// and flushes after each frame. It is not safe for concurrent use.
type Writer struct {
	out          io.Writer
	flush        func()
	ident        Ident
	lamport      func() uint64
	seq          uint64
	payloadBytes uint64
	digest       *xxhash.Digest
	closed       bool
}

// NewWriter returns a writer of one response. flush and lamport may be nil; with a nil lamport, frames carry the
// Lamport timestamp 0.
func NewWriter(out io.Writer, flush func(), ident Ident, lamport func() uint64) *Writer {
	if flush == nil {
		flush = func() {}
	}
	if lamport == nil {
		lamport = func() uint64 { return 0 }
	}
	return &Writer{out: out, flush: flush, ident: ident, lamport: lamport, digest: xxhash.New()}
}

// WriteAccepted writes the accepted frame, which must precede all data.
func (w *Writer) WriteAccepted(a *ferrypb.Accepted) error {
	return w.write(&ferrypb.Frame{Body: &ferrypb.Frame_Accepted{Accepted: a}})
}

// WriteData writes payload, split into as many frames as its size requires. The first frame carries the token count.
func (w *Writer) WriteData(payload []byte, tokens uint32) error {
	for {
		part := payload[:min(len(payload), MaxPayloadBytes)]
		payload = payload[len(part):]
		if err := w.data(part, tokens); err != nil {
			return err
		}
		if len(payload) == 0 {
			return nil
		}
		tokens = 0
	}
}

func (w *Writer) data(payload []byte, tokens uint32) error {
	message := &ferrypb.Data{Payload: payload, Tokens: tokens}
	if err := w.write(&ferrypb.Frame{Body: &ferrypb.Frame_Data{Data: message}}); err != nil {
		return err
	}
	w.payloadBytes += uint64(len(payload))
	// Digest.Write never fails.
	_, _ = w.digest.Write(payload)
	return nil
}

// WriteEnd writes the end frame of a complete response; later writes fail.
func (w *Writer) WriteEnd(s Summary) error {
	end := &ferrypb.End{
		Bytes:            w.payloadBytes,
		Checksum:         w.digest.Sum64(),
		Frames:           w.seq + 1,
		FinishReason:     s.FinishReason,
		PromptTokens:     s.PromptTokens,
		CompletionTokens: s.CompletionTokens,
	}
	err := w.write(&ferrypb.Frame{Body: &ferrypb.Frame_End{End: end}})
	w.closed = true
	return err
}

// WriteFail ends the response with a failure; later writes fail.
func (w *Writer) WriteFail(f *failure.Failure) error {
	message := &ferrypb.Fail{
		Code:             string(f.Code),
		Outcome:          string(f.Outcome),
		Message:          f.Message,
		RetryAfterMillis: f.RetryAfter.Milliseconds(),
		Status:           uint32(f.Code.Status()),
	}
	err := w.write(&ferrypb.Frame{Body: &ferrypb.Frame_Fail{Fail: message}})
	w.closed = true
	return err
}

func (w *Writer) write(f *ferrypb.Frame) error {
	if w.closed {
		return failure.New(failure.Internal, failure.Unknown, "frame written after the end of the response")
	}
	f.RequestId = w.ident.RequestID
	f.AttemptId = w.ident.AttemptID
	f.Incarnation = w.ident.Incarnation
	f.Seq = w.seq
	f.Lamport = w.lamport()
	if _, err := protodelim.MarshalTo(w.out, f); err != nil {
		w.closed = true
		return failure.Wrap(failure.ConnectionLost, failure.Unknown, fmt.Sprintf("failed to write frame %d", w.seq), err)
	}
	w.seq++
	w.flush()
	return nil
}
