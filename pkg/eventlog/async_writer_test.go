package eventlog

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingOutput blocks until it is released.
type blockingOutput struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (o *blockingOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// Guards against a request that waits for a full pipe on standard output, and against dropped lines nobody hears of.
func TestSlowOutputNeverBlocksAndIsReported(t *testing.T) {
	out := &blockingOutput{release: make(chan struct{})}
	w := NewAsyncWriter(out, 1_000_000)
	started := time.Now()
	for range 3 * asyncLines {
		_, _ = w.Write([]byte("line\n"))
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("writing took %v", took)
	}
	if w.Dropped() < asyncLines {
		t.Errorf("%d lines dropped", w.Dropped())
	}
	close(out.release)
	w.Close(5 * time.Second)
	if !strings.Contains(out.text.String(), "F0009") {
		t.Error("dropped lines are not reported")
	}
}

// Guards against logging that takes unbounded processor time under load.
func TestLineRateIsBounded(t *testing.T) {
	var out strings.Builder
	w := NewAsyncWriter(&out, 50)
	for range 500 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close(5 * time.Second)
	if n := strings.Count(out.String(), "line\n"); n > 100 {
		t.Errorf("%d lines written", n)
	}
}
