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
	// queueCapacity is the number of lines that may be queued for a slow output.
	queueCapacity = 1024
	// DefaultLinesPerSecond limits the CPU time spent on logging; a busy daemon decides on about 60 requests per second.
	DefaultLinesPerSecond = 300
	// dropReportInterval is the minimum time between two events that report dropped lines.
	dropReportInterval = time.Second
)

// AsyncWriter writes log lines asynchronously through a bounded queue, so that a slow output never blocks the caller.
// Lines are dropped and counted when the queue is full or the rate limit is exceeded.
type AsyncWriter struct {
	out            io.Writer
	lines          chan []byte
	limiter        *rate.Limiter
	dropped        atomic.Int64
	lastDropReport time.Time
	// closing is closed by Close, done once the lines queued by then are written. lines stays open, because something in
	// progress may still log.
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewAsyncWriter returns a writer to out that accepts up to linesPerSecond lines a second, in bursts of up to one
// second's worth of lines.
func NewAsyncWriter(out io.Writer, linesPerSecond int) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, queueCapacity), closing: make(chan struct{}), done: make(chan struct{}),
		limiter: rate.NewLimiter(rate.Limit(linesPerSecond), linesPerSecond)}
	go w.run()
	return w
}

// Write queues a copy of one line, or drops it. It never blocks and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if w.closed() || !w.limiter.Allow() {
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

func (w *AsyncWriter) closed() bool {
	select {
	case <-w.closing:
		return true
	default:
		return false
	}
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

func (w *AsyncWriter) run() {
	defer close(w.done)
	reportedDrops := int64(0)
	for {
		line, ok := w.next()
		if !ok {
			return
		}
		// Write errors are ignored: there is nowhere else to report that the log output failed.
		_, _ = w.out.Write(line)
		if n := w.dropped.Load(); n > reportedDrops && time.Since(w.lastDropReport) > dropReportInterval {
			reportedDrops, w.lastDropReport = n, time.Now()
			_, _ = io.WriteString(w.out, "event=F0009 msg=\""+LogLinesDropped.Message+"\" total="+strconv.FormatInt(n, 10)+"\n")
		}
	}
}

// next waits for a queued line; false if the writer is closed and the queue empty.
func (w *AsyncWriter) next() ([]byte, bool) {
	select {
	case line := <-w.lines:
		return line, true
	case <-w.closing:
	}
	select {
	case line := <-w.lines:
		return line, true
	default:
		return nil, false
	}
}

// Close writes the queued lines and returns when they are written or the timeout has passed. Later lines are dropped.
func (w *AsyncWriter) Close(timeout time.Duration) {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
