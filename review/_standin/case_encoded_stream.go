package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// spoiledShare is the share of a runner's answers that it spoils.
	spoiledShare = 0.02
	// streamInterval is the time between two streams; the site has 26.8 a second.
	streamInterval = 37 * time.Millisecond
	streamTime     = 20 * time.Second
	// subjects is the number of different first parts of prompts.
	subjects = 38
)

// encodedStream: one of four runners sends a few of its streams with a content coding. A response that has one is not the
// runner's body, so no client may get it as a success.
func encodedStream(w *world) (bool, error) {
	if err := w.putConfig(1); err != nil {
		return false, err
	}
	for n := range 4 {
		r, err := w.addRunner(fmt.Sprintf("m-%d", n+1), "spec-models", model)
		if err != nil {
			return false, err
		}
		if n == 0 && w.trouble {
			r.spoil = encodeSome(r)
		}
	}
	g, err := w.addGateway("front-1")
	if err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	for n, stop := 0, time.Now().Add(streamTime); time.Now().Before(stop); n++ {
		c := w.streamCall(fmt.Sprintf("survey-%04d", n), "/survey/draft", n%subjects)
		wait.Go(func() {
			r := w.send(g, c)
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, r)
		})
		time.Sleep(streamInterval)
	}
	wait.Wait()
	held := true
	for _, r := range replies {
		if r.status == http.StatusOK && r.complete && r.body != wholeStream(r.id) {
			held = false
			w.record.line("broken   MIXED: %s was answered with 200, signature %q and content coding %q; the body, complete, is %q...", r.id,
				r.header.Get(w.names.get("signature")), r.header.Get("Content-Encoding"), r.body[:min(len(r.body), 60)])
		}
	}
	return held, nil
}

// streamCall returns a request for a stream about one of some subjects, which share the first parts of their prompts.
func (w *world) streamCall(id, path string, subject int) call {
	return call{id: id, method: http.MethodPost, path: path, body: "survey " + id, timeout: 6 * time.Second, header: [][2]string{
		{w.names.get("model"), model}, {w.names.get("tokens"), "1460,80"}, {w.names.get("prefix"), fmt.Sprintf("5c1e07a2:800,91bd3f%02x:410,%x:250", subject, id)}}}
}

// wholeStream returns the body of a complete stream.
func wholeStream(id string) string {
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		b.WriteString(event(id, n))
	}
	return b.String()
}

// encodeSome returns what spoils a share of the runner's answers.
func encodeSome(r *runner) func(x *exchange) bool {
	spoiled := 0
	return func(x *exchange) bool {
		r.mu.Lock()
		r.answers++
		spoil := float64(spoiled+1) <= spoiledShare*float64(r.answers)
		if spoil {
			spoiled++
		}
		r.mu.Unlock()
		if spoil {
			r.streamEncoded(x)
		}
		return spoil
	}
}

// streamEncoded answers with a stream that has the content coding zstd, in one uncompressed block an event.
func (r *runner) streamEncoded(x *exchange) {
	r.record.line("spoiled  %s gets a stream with a content coding from %s", x.id, r.id)
	r.begin(x)
	header := append(r.header(x), [2]string{"Content-Type", "text/event-stream"}, [2]string{"Content-Encoding", "zstd"},
		[2]string{"Transfer-Encoding", "chunked"})
	if x.writeHead(http.StatusOK, header) != nil {
		return
	}
	// The magic number, a frame header without a checksum, and a window of 1 MB.
	data := "\x28\xb5\x2f\xfd\x00\x50"
	for n := 1; n <= streamEvents; n++ {
		time.Sleep(eventGap)
		text := event(x.id, n)
		block := len(text) << 3
		if n == streamEvents {
			block |= 1
		}
		data += string([]byte{byte(block), byte(block >> 8), byte(block >> 16)}) + text
		if _, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(data), data); err != nil {
			return
		}
		data = ""
	}
	_, _ = fmt.Fprint(x.conn, "0\r\n\r\n")
}
