package frame

import "io"

// source remembers the error of the connection, so that a lost connection is told apart from a malformed frame.
type source struct {
	r   io.Reader
	err error
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	if err != nil {
		s.err = err
	}
	return n, err
}
