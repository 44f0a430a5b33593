// Package memlog implements infra.Log in memory, with simulated faults of the log service.
package memlog

import (
	"context"
	"fmt"
	"sync"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

// Log keeps streams in memory. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	down    bool
	// loseResponses is the number of coming appends that store their record and then fail.
	loseResponses int
	appends       int
}

type stream struct {
	// first is the offset of data[0].
	first uint64
	data  [][]byte
}

// New returns an empty log.
func New() *Log {
	return &Log{streams: map[string]*stream{}}
}

// SetDown starts or ends a simulated outage, during which every call fails with code LogUnavailable and outcome NotRun.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// LoseResponses makes the next n appends store their record and then fail with outcome Unknown, as if the response were
// lost.
func (l *Log) LoseResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseResponses = n
}

// ExpireBefore deletes the records of a stream before the offset keepFrom.
func (l *Log) ExpireBefore(name string, keepFrom uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for s.first < keepFrom && len(s.data) > 0 {
		s.data = s.data[1:]
		s.first++
	}
}

// Appends returns the number of records appended to all streams.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements infra.Log. It stores a copy of data.
func (l *Log) Append(_ context.Context, name string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, failure.New(failure.LogUnavailable, failure.NotRun, "log is down")
	}
	s := l.stream(name)
	s.data = append(s.data, append([]byte(nil), data...))
	l.appends++
	if l.loseResponses > 0 {
		l.loseResponses--
		return 0, failure.New(failure.LogUnavailable, failure.Unknown, "append response lost")
	}
	return s.next() - 1, nil
}

// Read implements infra.Log.
func (l *Log) Read(_ context.Context, name string, from uint64, limit int) (infra.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return infra.Batch{}, failure.New(failure.LogUnavailable, failure.NotRun, "log is down")
	}
	s := l.stream(name)
	batch := infra.Batch{NextOffset: s.next(), OldestOffset: s.first}
	if from < s.first {
		return batch, failure.New(failure.OffsetExpired, failure.NotRun, fmt.Sprintf("record at offset %d is no longer retained; the oldest is at offset %d", from, s.first))
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
