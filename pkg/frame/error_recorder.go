package frame

import "io"

// errorRecorder records the last read error of the connection, which distinguishes a lost connection from a malformed
// frame.
type errorRecorder struct {
	r   io.Reader
	err error
}

// Read implements io.Reader.
func (e *errorRecorder) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	if err != nil {
		e.err = err
	}
	return n, err
}
