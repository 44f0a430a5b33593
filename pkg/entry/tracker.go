package entry

import "net/http"

// tracker remembers whether an answer was started.
type tracker struct {
	http.ResponseWriter
	wrote bool
}

// WriteHeader implements http.ResponseWriter.
func (t *tracker) WriteHeader(status int) {
	t.wrote = true
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *tracker) Write(p []byte) (int, error) {
	t.wrote = true
	return t.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the connection.
func (t *tracker) Unwrap() http.ResponseWriter { return t.ResponseWriter }
