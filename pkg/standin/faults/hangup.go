package faults

import "net/http"

// Hangup closes the connection of a request without any further answer. What was flushed before still arrives.
func Hangup(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}

// discard is a ResponseWriter whose answer is lost.
type discard struct {
	header http.Header
}

// Header returns a header that nobody reads.
func (d *discard) Header() http.Header { return d.header }

// Write drops the bytes.
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader does nothing.
func (d *discard) WriteHeader(int) {}
