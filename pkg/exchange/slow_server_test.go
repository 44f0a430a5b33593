package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// Guards against a server that reads a request slowly and holds up other requests to it, and against a copy of the body that
// is held meanwhile.
func TestSlowlyReadRequestHoldsUpNoOther(t *testing.T) {
	const bodyBytes = 32 << 20
	slow := make(chan struct{})
	address := serveScript(t, func(c net.Conn, in *bufio.Reader) {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		<-slow
		n, err := io.Copy(io.Discard, req.Body)
		if err == nil && n == bodyBytes {
			_, _ = io.WriteString(c, okResponse("a", "slow"))
		}
	}, respond(okResponse("b", "fast")))
	p, req := NewPool(), request("a", "")
	req.Body = []byte(strings.Repeat("x", bodyBytes))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	result := make(chan string, 1)
	go func() {
		body, _ := exchangeOnce(t, p, address, req)
		result <- body
	}()
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	if body, err := exchangeOnce(t, p, address, request("b", "x")); err != nil || body != "fast" || time.Since(began) > time.Second {
		t.Errorf("request beside the slow one: %q, %v after %v, want fast within 1 s", body, err, time.Since(began))
	}
	runtime.ReadMemStats(&after)
	if held := after.TotalAlloc - before.TotalAlloc; held > bodyBytes/2 {
		t.Errorf("%d bytes were allocated to send a body of %d", held, bodyBytes)
	}
	close(slow)
	if body := <-result; body != "slow" {
		t.Errorf("slow request: %q, want its response", body)
	}
}
