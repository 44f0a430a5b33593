package stream

import "strings"

const (
	// seqGeneration is the number of records after which a writer that wrote nothing is forgotten at the
	// earliest. It bounds the map; writers re-send within seconds, far less than this many records.
	seqGeneration = 1 << 15

	currentPrefix  = "0/"
	previousPrefix = "1/"
)

// writerSeqs holds the highest applied sequence number per writer. Generations change at fixed offsets,
// so that every reader of the stream forgets a writer at the same record.
type writerSeqs struct {
	current  map[string]uint64
	previous map[string]uint64
}

func newWriterSeqs() *writerSeqs {
	return &writerSeqs{current: map[string]uint64{}, previous: map[string]uint64{}}
}

// duplicate records the append and reports whether it was applied before.
func (s *writerSeqs) duplicate(writer string, seq uint64) bool {
	if writer == "" {
		return false
	}
	last := max(s.current[writer], s.previous[writer])
	s.current[writer] = max(last, seq)
	return seq <= last
}

// advance is called after the record at offset was applied.
func (s *writerSeqs) advance(offset uint64) {
	if offset%seqGeneration == 0 {
		s.previous = s.current
		s.current = map[string]uint64{}
	}
}

// save returns the state for a checkpoint: keys are the generation and the writer.
func (s *writerSeqs) save() map[string]uint64 {
	out := make(map[string]uint64, len(s.current)+len(s.previous))
	for writer, seq := range s.current {
		out[currentPrefix+writer] = seq
	}
	for writer, seq := range s.previous {
		out[previousPrefix+writer] = seq
	}
	return out
}

func restoreWriterSeqs(saved map[string]uint64) *writerSeqs {
	s := newWriterSeqs()
	for key, seq := range saved {
		if writer, ok := strings.CutPrefix(key, currentPrefix); ok {
			s.current[writer] = seq
		}
		if writer, ok := strings.CutPrefix(key, previousPrefix); ok {
			s.previous[writer] = seq
		}
	}
	return s
}
