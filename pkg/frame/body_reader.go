package frame

import "io"

// body reads a fixed number of bytes and reports an early end as an error.
type body struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= int64(n)
	if err == io.EOF && b.left > 0 {
		return n, io.ErrUnexpectedEOF
	}
	if err == io.EOF {
		return n, nil
	}
	return n, err
}
