package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"trefoilferry.example/ferry/pkg/bytebudget"
	"trefoilferry.example/ferry/pkg/failure"
)

func readEvents(in io.Reader) (string, error) {
	r := &eventReader{in: in, hold: bytebudget.New(1 << 20).Share().Hold}
	var out strings.Builder
	for {
		events, err := r.next()
		if err != nil {
			return out.String(), err
		}
		out.Write(events)
	}
}

// Guards against passing on parts of events, and against reporting a stream that was cut off as complete.
func TestOnlyCompleteEventsPass(t *testing.T) {
	cut := failure.New(failure.Truncated, failure.Unknown, "cut")
	cases := []struct {
		name, in, want string
		err            error
		complete       bool
	}{
		{"complete", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", nil, true},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", nil, true},
		{"empty", "", "", nil, true},
		{"ends inside an event", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", nil, false},
		{"breaks inside an event", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", cut, false},
		{"breaks between events", "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", cut, false},
	}
	for _, c := range cases {
		for _, wrap := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader, iotest.DataErrReader} {
			in := io.Reader(strings.NewReader(c.in))
			if c.err != nil {
				in = io.MultiReader(in, iotest.ErrReader(c.err))
			}
			got, err := readEvents(wrap(in))
			if got != c.want || errors.Is(err, io.EOF) != c.complete {
				t.Errorf("%s: got %q, %v, want %q, complete %v", c.name, got, err, c.want, c.complete)
			}
		}
	}
}

// Guards against a resumed stream with a missing or repeated event.
func TestEventIDs(t *testing.T) {
	first, last := eventIDs([]byte("id: 3\ndata: x\n\ndata: y\n\nid:5\ndata: id: 9\n\n"))
	if first != "3" || last != "5" {
		t.Errorf("event ids: first %q, last %q, want 3 and 5", first, last)
	}
	cases := []struct {
		previous, next string
		want           bool
	}{{"2", "3", true}, {"2", "2", false}, {"2", "4", false}, {"9", "10", true}, {"x", "3", true}}
	for _, c := range cases {
		if got := isNextEventID(c.previous, c.next); got != c.want {
			t.Errorf("isNextEventID(%s, %s) = %v, want %v", c.previous, c.next, got, c.want)
		}
	}
}

// Guards against panics, and against events that differ from the input, on arbitrary streams.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid")
	f.Add("\n\n\r\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		got, _ := readEvents(iotest.HalfReader(strings.NewReader(in)))
		if !strings.HasPrefix(in, got) {
			t.Errorf("events %q, want a prefix of %q", got, in)
		}
	})
}
