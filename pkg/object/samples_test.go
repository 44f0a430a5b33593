package object

import "testing"

const gib = 1 << 30

// Guards against sample sets that the rules refuse, that do not fit the users' runners, or that fit so easily
// that no placement decision is ever needed.
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
		var floor, twice uint64
		for _, m := range set.Models() {
			floor += m.Bytes * uint64(m.MinCopies)
			twice += 2 * m.Bytes
		}
		if floor > s.memory*7/10 || twice <= s.memory {
			t.Errorf("%s: floor %d GiB, twice %d GiB of %d GiB", s.path, floor/gib, twice/gib, s.memory/gib)
		}
		if len(set.Models()) != s.models || len(set.Adapters()) != s.adapters || len(set.Services()) != 1 {
			t.Errorf("%s: %d models, %d adapters", s.path, len(set.Models()), len(set.Adapters()))
		}
	}
}
