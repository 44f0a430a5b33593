package faults

import "net/http"

// CloseConn closes the connection of a request without sending anything more. Data flushed before still reaches the
// client.
func CloseConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct {
	header http.Header
}

// Header returns a header that is never sent.
func (d *discardWriter) Header() http.Header { return d.header }

// Write discards p and reports success.
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader does nothing.
func (d *discardWriter) WriteHeader(int) {}
