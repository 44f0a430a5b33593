package entry

import "net/http"

// trackingWriter records whether a response was started.
type trackingWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (t *trackingWriter) WriteHeader(status int) {
	t.started = true
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *trackingWriter) Write(p []byte) (int, error) {
	t.started = true
	return t.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the connection.
func (t *trackingWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }
