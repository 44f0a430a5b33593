package log

import "time"

// entry is one stored record.
type entry struct {
	at   time.Time
	data []byte
}

// stream is one stream of the log. Callers of its methods must hold Server.mu.
type stream struct {
	// first is the offset of entries[0].
	first   uint64
	entries []entry
}

func newStream() *stream {
	return &stream{first: 1}
}

// next returns the offset that the next append gets.
func (s *stream) next() uint64 {
	return s.first + uint64(len(s.entries))
}

// append stores data and returns its offset.
func (s *stream) append(now time.Time, data []byte) uint64 {
	s.entries = append(s.entries, entry{at: now, data: data})
	return s.next() - 1
}

// expire drops the oldest records beyond maxRecords and records older than maxAge; 0 means no limit.
func (s *stream) expire(now time.Time, maxRecords int, maxAge time.Duration) {
	drop := 0
	if maxRecords > 0 && len(s.entries) > maxRecords {
		drop = len(s.entries) - maxRecords
	}
	for maxAge > 0 && drop < len(s.entries) && now.Sub(s.entries[drop].at) > maxAge {
		drop++
	}
	s.entries = s.entries[drop:]
	s.first += uint64(drop)
}

// read returns up to limit entries starting at offset from, which must not be below s.first.
func (s *stream) read(from uint64, limit int) []entry {
	if from >= s.next() {
		return nil
	}
	found := s.entries[from-s.first:]
	return found[:min(limit, len(found))]
}
