package eventlog

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingOutput is a writer whose Write blocks until release is closed.
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

// Guards against requests that block on logging when the pipe at standard output is full, and against lines that are
// dropped without being reported.
func TestSlowOutputNeverBlocksAndIsReported(t *testing.T) {
	out := &blockingOutput{release: make(chan struct{})}
	w := NewAsyncWriter(out, 1_000_000)
	started := time.Now()
	for range 3 * queueCapacity {
		_, _ = w.Write([]byte("line\n"))
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("writing %d lines to a blocked output took %v, want at most 1s", 3*queueCapacity, took)
	}
	if w.Dropped() < queueCapacity {
		t.Errorf("lines dropped: %d, want at least %d", w.Dropped(), queueCapacity)
	}
	close(out.release)
	w.Close(5 * time.Second)
	if !strings.Contains(out.text.String(), "F0009") {
		t.Errorf("output has no event F0009 about %d dropped lines", w.Dropped())
	}
}

// Guards against logging that uses unbounded CPU time under load.
func TestLineRateIsBounded(t *testing.T) {
	var out strings.Builder
	w := NewAsyncWriter(&out, 50)
	for range 500 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close(5 * time.Second)
	if n := strings.Count(out.String(), "line\n"); n > 100 {
		t.Errorf("lines written of 500 at a limit of 50 a second: %d, want at most 100", n)
	}
}

// Guards against a stopping process that ends with a panic, because something still in progress logs after the log is
// closed.
func TestLineAfterCloseEndsNoProcess(t *testing.T) {
	var out strings.Builder
	w := NewAsyncWriter(&out, 1_000_000)
	var writers sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		writers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_, _ = w.Write([]byte("late\n"))
				}
			}
		})
	}
	_, _ = w.Write([]byte("line\n"))
	w.Close(5 * time.Second)
	written := out.Len()
	_, _ = w.Write([]byte("after\n"))
	close(stop)
	writers.Wait()
	w.Close(5 * time.Second)
	if out.Len() != written || strings.Contains(out.String(), "after") {
		t.Errorf("%d bytes were written after the log was closed, want none", out.Len()-written)
	}
}
