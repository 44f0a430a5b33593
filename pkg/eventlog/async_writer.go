package eventlog

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// asyncLines bounds the lines that wait for a slow output.
	asyncLines = 1024
	// DefaultLinesPerSecond bounds the processor time of logging; a busy daemon decides on about 60 requests a second.
	DefaultLinesPerSecond = 300
	// dropNotice is the least time between two lines about dropped lines.
	dropNotice = time.Second
)

// AsyncWriter writes lines from a bounded queue, so that a slow output never delays its caller. Lines beyond the queue
// or the rate are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	noticed time.Time
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer to out that takes up to linesPerSecond lines.
func NewAsyncWriter(out io.Writer, linesPerSecond int) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncLines), done: make(chan struct{}),
		limiter: rate.NewLimiter(rate.Limit(linesPerSecond), linesPerSecond)}
	go w.run()
	return w
}

// Write queues one line. It never fails and never waits.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

func (w *AsyncWriter) run() {
	defer close(w.done)
	reported := int64(0)
	for line := range w.lines {
		// An output that fails leaves nowhere to report the failure.
		_, _ = w.out.Write(line)
		if n := w.dropped.Load(); n > reported && time.Since(w.noticed) > dropNotice {
			reported, w.noticed = n, time.Now()
			_, _ = io.WriteString(w.out, "event=F0009 msg=\""+LogLinesDropped.Message+"\" total="+strconv.FormatInt(n, 10)+"\n")
		}
	}
}

// Close writes the queued lines, for at most the given time. Nothing may be written afterwards.
func (w *AsyncWriter) Close(wait time.Duration) {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}
