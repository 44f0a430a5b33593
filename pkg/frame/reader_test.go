package frame

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"google.golang.org/protobuf/encoding/protodelim"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

var ident = Ident{RequestID: "r", AttemptID: "a", Incarnation: "i"}

// encodeResponse returns a complete encoded response with one data frame per part.
func encodeResponse(t testing.TB, parts ...string) []byte {
	t.Helper()
	var out bytes.Buffer
	w := NewWriter(&out, nil, ident, nil)
	if err := w.WriteAccepted(&ferrypb.Accepted{Status: 200}); err != nil {
		t.Fatal(err)
	}
	for _, p := range parts {
		if err := w.WriteData([]byte(p), 1); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.WriteEnd(Summary{FinishReason: "stop"}); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// readAll reads a response and returns its concatenated payloads.
func readAll(raw io.Reader, id Ident) (string, *Reader, error) {
	r := NewReader(raw, id)
	var text []byte
	for {
		f, err := r.Next()
		if err == io.EOF {
			return string(text), r, nil
		}
		if err != nil {
			return string(text), r, err
		}
		text = append(text, f.GetData().GetPayload()...)
	}
}

// editFrames decodes the frames of raw, applies edit and encodes the result.
func editFrames(t *testing.T, raw []byte, edit func([]*ferrypb.Frame) []*ferrypb.Frame) []byte {
	t.Helper()
	var frames []*ferrypb.Frame
	in := bytes.NewReader(raw)
	for in.Len() > 0 {
		f := &ferrypb.Frame{}
		if err := protodelim.UnmarshalFrom(in, f); err != nil {
			t.Fatal(err)
		}
		frames = append(frames, f)
	}
	var out bytes.Buffer
	for _, f := range edit(frames) {
		if _, err := protodelim.MarshalTo(&out, f); err != nil {
			t.Fatal(err)
		}
	}
	return out.Bytes()
}

// Guards against a response with missing, duplicate, foreign or altered frames that passes as complete.
func TestReaderRejectsFaultyResponses(t *testing.T) {
	tests := map[string]struct {
		edit func([]*ferrypb.Frame) []*ferrypb.Frame
		want failure.Code
	}{
		"no end frame":      {func(f []*ferrypb.Frame) []*ferrypb.Frame { return f[:3] }, failure.Truncated},
		"empty":             {func([]*ferrypb.Frame) []*ferrypb.Frame { return nil }, failure.Truncated},
		"duplicate frame":   {func(f []*ferrypb.Frame) []*ferrypb.Frame { return append(f[:2:2], f[1:]...) }, failure.FrameMismatch},
		"missing frame":     {func(f []*ferrypb.Frame) []*ferrypb.Frame { return append(f[:1:1], f[2:]...) }, failure.FrameMismatch},
		"other request":     {func(f []*ferrypb.Frame) []*ferrypb.Frame { f[1].RequestId = "x"; return f }, failure.FrameMismatch},
		"other attempt":     {func(f []*ferrypb.Frame) []*ferrypb.Frame { f[2].AttemptId = "x"; return f }, failure.FrameMismatch},
		"other agent":       {func(f []*ferrypb.Frame) []*ferrypb.Frame { f[3].Incarnation = "x"; return f }, failure.FrameMismatch},
		"altered payload":   {func(f []*ferrypb.Frame) []*ferrypb.Frame { f[1].GetData().Payload[0]++; return f }, failure.ChecksumMismatch},
		"truncated payload": {func(f []*ferrypb.Frame) []*ferrypb.Frame { f[1].GetData().Payload = nil; return f }, failure.Truncated},
		"second accepted":   {func(f []*ferrypb.Frame) []*ferrypb.Frame { f[1].Body = f[0].Body; return f }, failure.FrameMismatch},
		"no body":           {func(f []*ferrypb.Frame) []*ferrypb.Frame { f[1].Body = nil; return f }, failure.FrameMismatch},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			raw := editFrames(t, encodeResponse(t, "one ", "two"), tt.edit)
			_, r, err := readAll(bytes.NewReader(raw), ident)
			if !failure.HasCode(err, tt.want) || r.Complete() {
				t.Fatalf("error %v, complete %v; want code %s, not complete", err, r.Complete(), tt.want)
			}
			if failure.From(err).Outcome != failure.Unknown {
				t.Fatalf("outcome of a faulty response: %s, want %s", failure.From(err).Outcome, failure.Unknown)
			}
		})
	}
}

// Guards against a response truncated at any byte that passes as complete.
func TestReaderRejectsTruncatedResponses(t *testing.T) {
	raw := encodeResponse(t, "one ", "two")
	for n := range raw {
		_, r, err := readAll(iotest.OneByteReader(bytes.NewReader(raw[:n])), ident)
		if !failure.HasCode(err, failure.Truncated) || r.Complete() {
			t.Fatalf("prefix of %d bytes: error %v, complete %v; want code %s, not complete", n, err, r.Complete(), failure.Truncated)
		}
	}
	text, r, err := readAll(bytes.NewReader(raw), ident)
	if err != nil || text != "one two" || !r.Drained() {
		t.Fatalf("complete response: text %q, error %v, drained %v; want %q, no error, drained", text, err, r.Drained(), "one two")
	}
}

// Guards against an outcome not_run that is trusted after the accepted frame, which means that the backend server had
// started the request.
func TestFailOutcome(t *testing.T) {
	for _, accepted := range []bool{false, true} {
		var out bytes.Buffer
		w := NewWriter(&out, nil, ident, nil)
		want := failure.NotRun
		if accepted {
			_ = w.WriteAccepted(&ferrypb.Accepted{})
			want = failure.Unknown
		}
		_ = w.WriteFail(failure.New(failure.Leaving, failure.NotRun, "leaving"))
		_, _, err := readAll(&out, ident)
		if f := failure.From(err); f.Code != failure.Leaving || f.Outcome != want {
			t.Fatalf("accepted %v: error %v with outcome %s, want code %s with outcome %s", accepted, err, f.Outcome, failure.Leaving, want)
		}
	}
}

// Guards against the refusal of a restarted agent that counts as unknown, and against a successor that ends the response
// of the earlier incarnation.
func TestSuccessorRefusal(t *testing.T) {
	refusal := failure.New(failure.WrongIncarnation, failure.NotRun, "restarted")
	for _, late := range []bool{false, true} {
		var out bytes.Buffer
		want, code := failure.NotRun, failure.WrongIncarnation
		successor := NewWriter(&out, nil, Ident{RequestID: "r", AttemptID: "a", Incarnation: "next"}, nil)
		if late {
			_ = NewWriter(&out, nil, ident, nil).WriteAccepted(&ferrypb.Accepted{})
			successor.seq = 1
			want, code = failure.Unknown, failure.FrameMismatch
		}
		_ = successor.WriteFail(refusal)
		_, _, err := readAll(&out, ident)
		if f := failure.From(err); f.Code != code || f.Outcome != want {
			t.Fatalf("late %v: error %v with outcome %s, want code %s with outcome %s", late, err, f.Outcome, code, want)
		}
	}
}

// Guards against a panic or an unbounded allocation on malicious input, and against success without a verified end frame.
func FuzzReader(f *testing.F) {
	f.Add(encodeResponse(f, "one ", "two"))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, raw []byte) {
		text, r, err := readAll(bytes.NewReader(raw), ident)
		if err != nil && r.Complete() {
			t.Fatalf("response with error %v counts as complete", err)
		}
		if err == nil && (!r.Complete() || r.payloadBytes != uint64(len(text))) {
			t.Fatalf("response without error: complete %v, %d payload bytes counted, %d returned; want complete and equal counts", r.Complete(), r.payloadBytes, len(text))
		}
	})
}
