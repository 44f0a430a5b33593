package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"trefoilferry.example/ferry/pkg/bytebudget"
)

// Guards against resuming a stream whose last event had no id: the next server would send it once more, or leave it out.
func TestStreamIsResumedFromNumberedEventsOnly(t *testing.T) {
	for _, c := range []struct {
		events string
		want   bool
	}{
		{"id: 1\ndata: a\n\n", true},
		{": ping\n\n", true},
		{"data: a\n\n", false},
		{"id: 1\ndata: a\n\ndata: b\n\n", false},
		{"data: a\n\nid: 1\r\ndata: b\r\n\r\n", true},
	} {
		head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(c.events)
		relay := &streamRelay{w: httptest.NewRecorder(), codec: plainCodec{}, budget: bytebudget.New(1 << 20)}
		resp := sendTo(t.Context(), t, serveAnswers(t, head))
		fail := relay.run(t.Context(), resp, unwatched(), 0, func() {})
		resp.Close()
		if fail == nil || !relay.started {
			t.Fatalf("%q: %v, want a stream that breaks off", c.events, fail)
		}
		if got := relay.resumable(); got != c.want {
			t.Errorf("%q: resumable %v, want %v", c.events, got, c.want)
		}
	}
}

// Guards against comparing ids that are no numbers as if they followed each other.
func TestFollowsEvent(t *testing.T) {
	for _, c := range []struct {
		previous, next string
		want           bool
	}{{"2", "3", true}, {"2", "2", false}, {"2", "4", false}, {"2", "", false}, {"2", "x", false}, {"x", "3", false}, {"x", "x", false}, {"x", "y", true}, {"x", "", false}, {"", "1", true}} {
		if got := followsEvent(c.previous, c.next); got != c.want {
			t.Errorf("followsEvent(%q, %q) = %v, want %v", c.previous, c.next, got, c.want)
		}
	}
}

// Guards against taking the parameters of a media type for another type.
func TestMediaType(t *testing.T) {
	for text, want := range map[string]string{"text/event-stream": "text/event-stream", "Text/Event-Stream; charset=utf-8": "text/event-stream", "": "", ";;": ";;"} {
		if got := mediaType(http.Header{"Content-Type": {text}}); got != want {
			t.Errorf("mediaType(%q) = %q, want %q", text, got, want)
		}
	}
}
