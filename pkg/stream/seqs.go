package stream

import "strings"

const (
	// seqGenerationRecords is the minimum number of records after which the sequence number of an idle writer is
	// dropped. It limits the size of the map. Writers retransmit within seconds, that is, within far fewer records.
	seqGenerationRecords = 1 << 15

	currentPrefix  = "0/"
	previousPrefix = "1/"
)

// writerSeqs holds the highest applied sequence number per writer in two generations. Generations change at fixed
// offsets, so that all readers of the stream drop a writer at the same record.
type writerSeqs struct {
	current  map[string]uint64
	previous map[string]uint64
}

func newWriterSeqs() *writerSeqs {
	return &writerSeqs{current: map[string]uint64{}, previous: map[string]uint64{}}
}

// recordSeq records the sequence number and reports whether it was already applied, i.e. the record is a duplicate.
func (s *writerSeqs) recordSeq(writer string, seq uint64) bool {
	if writer == "" {
		return false
	}
	last := max(s.current[writer], s.previous[writer])
	s.current[writer] = max(last, seq)
	return seq <= last
}

// advance starts a new generation if one begins after offset. It is called after each applied record.
func (s *writerSeqs) advance(offset uint64) {
	if offset%seqGenerationRecords == 0 {
		s.previous = s.current
		s.current = map[string]uint64{}
	}
}

// save returns the state for a checkpoint; keys consist of the generation and the writer.
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
