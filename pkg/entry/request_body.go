package entry

import (
	"io"
	"sync"

	"trefoilferry.example/ferry/pkg/failure"
)

// requestBody is the body of one exec call. It shows whether the transport has taken a part of it, and can be withdrawn
// before that. It is safe for concurrent use, because the transport may still run after a failed call has returned.
type requestBody struct {
	mu        sync.Mutex
	content   io.Reader
	taken     bool
	withdrawn bool
}

func newRequestBody(content io.Reader) *requestBody { return &requestBody{content: content} }

// Read implements io.Reader. It fails after withdraw.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.withdrawn {
		return 0, failure.New(failure.ClientCancelled, failure.NotRun, "the exec request was withdrawn before it was sent")
	}
	b.taken = true
	return b.content.Read(p)
}

// Close implements io.Closer. It does nothing, because the content is in memory.
func (b *requestBody) Close() error { return nil }

// withdraw makes later reads fail if nothing has been read yet. It then returns true, which proves that the agent gets
// no part of the body.
func (b *requestBody) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.taken {
		return false
	}
	b.withdrawn = true
	return true
}
