package object

import "testing"

const gib = 1 << 30

// Guards against sample configurations that the rules refuse, whose minimum copies take more than 70% of the memory of
// the users' runners, or that fit in that memory twice, so that no placement decision is ever needed.
func TestSampleSets(t *testing.T) {
	samples := []struct {
		path             string
		memory           uint64
		models, adapters int
	}{
		{"../../config/directorate.ini", 18 * 80 * gib, 30, 100},
		{"../../config/damier.ini", 9 * 80 * gib, 13, 60},
	}
	for _, s := range samples {
		source, problems := ReadFiles(s.path)
		set, invalid := NewSet(1, source.Objects)
		if problems = append(problems, source.Locate(invalid)...); len(problems) > 0 {
			t.Fatal(Problems(problems))
		}
		var minimum, twoCopies uint64
		for _, m := range set.Models() {
			minimum += m.MemoryBytes * uint64(m.MinCopies)
			twoCopies += 2 * m.MemoryBytes
		}
		if minimum > s.memory*7/10 || twoCopies <= s.memory {
			t.Errorf("%s: minimum copies take %d GiB, want at most 70%% of %d GiB; two copies of every model take %d GiB, want more than %d GiB",
				s.path, minimum/gib, s.memory/gib, twoCopies/gib, s.memory/gib)
		}
		if len(set.Models()) != s.models || len(set.Adapters()) != s.adapters || len(set.Services()) != 1 {
			t.Errorf("%s: %d models, %d adapters, %d services, want %d, %d and 1",
				s.path, len(set.Models()), len(set.Adapters()), len(set.Services()), s.models, s.adapters)
		}
	}
}
