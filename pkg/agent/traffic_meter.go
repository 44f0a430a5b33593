package agent

import (
	"io"
	"net/http"
)

// meteredTransport counts the bodies of control calls.
type meteredTransport struct {
	next    http.RoundTripper
	metrics *Metrics
}

// RoundTrip sends the request and counts both bodies.
func (t *meteredTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.ContentLength > 0 {
		t.metrics.controlBytes.WithLabelValues("out").Add(float64(r.ContentLength))
	}
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &meteredBody{ReadCloser: resp.Body, metrics: t.metrics}
	return resp, nil
}

// meteredBody counts the bytes of an answer as they are read.
type meteredBody struct {
	io.ReadCloser
	metrics *Metrics
}

// Read reads and counts.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.metrics.controlBytes.WithLabelValues("in").Add(float64(n))
	return n, err
}

// meteredWriter counts the bytes of an answer to a control call.
type meteredWriter struct {
	http.ResponseWriter
	metrics *Metrics
}

// Write writes and counts.
func (w *meteredWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.metrics.controlBytes.WithLabelValues("out").Add(float64(n))
	return n, err
}

// metered counts the bytes of the control calls that a handler serves.
func metered(next http.Handler, m *Metrics) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			m.controlBytes.WithLabelValues("in").Add(float64(r.ContentLength))
		}
		next.ServeHTTP(&meteredWriter{ResponseWriter: w, metrics: m}, r)
	})
}
