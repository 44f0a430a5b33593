package frame

import "io"

// bodyReader reads a fixed number of bytes and returns io.ErrUnexpectedEOF if the underlying reader ends early.
type bodyReader struct {
	r         io.Reader
	remaining int64
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.r.Read(p)
	b.remaining -= int64(n)
	if err == io.EOF && b.remaining > 0 {
		return n, io.ErrUnexpectedEOF
	}
	if err == io.EOF {
		return n, nil
	}
	return n, err
}
