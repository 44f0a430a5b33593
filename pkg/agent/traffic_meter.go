package agent

import (
	"io"
	"net/http"
)

// meteredTransport counts the body bytes of outgoing control calls.
type meteredTransport struct {
	next    http.RoundTripper
	metrics *Metrics
}

// RoundTrip sends the request and counts the bytes of the request and response bodies.
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

// meteredBody counts the bytes of a response body as they are read.
type meteredBody struct {
	io.ReadCloser
	metrics *Metrics
}

// Read reads from the body and counts the bytes.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.metrics.controlBytes.WithLabelValues("in").Add(float64(n))
	return n, err
}

// meteredWriter counts the body bytes of a response to a control call.
type meteredWriter struct {
	http.ResponseWriter
	metrics *Metrics
}

// Write writes to the response and counts the bytes.
func (w *meteredWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.metrics.controlBytes.WithLabelValues("out").Add(float64(n))
	return n, err
}

// metered returns a handler that counts the request and response body bytes of next.
func metered(next http.Handler, m *Metrics) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			m.controlBytes.WithLabelValues("in").Add(float64(r.ContentLength))
		}
		next.ServeHTTP(&meteredWriter{ResponseWriter: w, metrics: m}, r)
	})
}
