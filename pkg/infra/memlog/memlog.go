// Package memlog is an append-only log in memory with the faults of the platform's log service.
package memlog

import (
	"context"
	"sync"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

// Log keeps streams in memory. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	down    bool
	// loseAnswers counts appends that take effect but whose answer is lost.
	loseAnswers int
	appends     int
}

type stream struct {
	first uint64
	data  [][]byte
}

// New returns an empty log.
func New() *Log {
	return &Log{streams: map[string]*stream{}}
}

// SetDown switches an outage on or off; during an outage every call fails with code LogUnavailable.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// LoseAnswers makes the next n appends take effect and then fail with outcome Unknown.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseAnswers = n
}

// Expire drops all records of a stream before the offset keepFrom.
func (l *Log) Expire(name string, keepFrom uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for s.first < keepFrom && len(s.data) > 0 {
		s.data = s.data[1:]
		s.first++
	}
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append stores a copy of data.
func (l *Log) Append(_ context.Context, name string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, failure.New(failure.LogUnavailable, failure.NotRun, "log is down")
	}
	s := l.stream(name)
	s.data = append(s.data, append([]byte(nil), data...))
	l.appends++
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, failure.New(failure.LogUnavailable, failure.Unknown, "answer of the append is lost")
	}
	return s.next() - 1, nil
}

// Read returns records from offset from on.
func (l *Log) Read(_ context.Context, name string, from uint64, limit int) (infra.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return infra.Batch{}, failure.New(failure.LogUnavailable, failure.NotRun, "log is down")
	}
	s := l.stream(name)
	batch := infra.Batch{Next: s.next(), Oldest: s.first}
	if from < s.first {
		return batch, failure.New(failure.OffsetExpired, failure.NotRun, "records are no longer retained")
	}
	for offset := from; offset < s.next() && len(batch.Records) < limit; offset++ {
		batch.Records = append(batch.Records, infra.Record{Offset: offset, Data: s.data[offset-s.first]})
	}
	return batch, nil
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() uint64 {
	return s.first + uint64(len(s.data))
}
