package object

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

const goodFile = `# sample
[model "llama-3.1"]
version = v1
bytes = 16GiB
first_token_target = 500ms

[model "llama-3.1.b"]
version = "a;b"
bytes = 8GiB

[adapter "legal"]
model = llama-3.1
bytes = 64MiB

[service "booking"]

[workspace "press"]
priority = 3

[cap "press-cap"]
member = workspace/press
share = 0.25

[placement "near"]
model = llama-3.1
regions = ege, marmara

[drain "runner-1"]
`

func parse(t *testing.T, text string) *Source {
	t.Helper()
	s := NewSource()
	if problems := s.Add("a.ini", []byte(text)); len(problems) > 0 {
		t.Fatal(problems)
	}
	return s
}

// Guards against values and defaults that are lost between the file and the typed object.
func TestNewSetDecodes(t *testing.T) {
	set, problems := NewSet(7, parse(t, goodFile).Objects)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	m, _ := set.Model("llama-3.1")
	if m.MemoryBytes != 16<<30 || m.MinCopies != 2 || m.FirstTokenTarget != 500*time.Millisecond || m.MaxTokens != 4096 {
		t.Errorf("model llama-3.1: %+v, want 16 GiB, 2 copies, first token in 500ms, 4096 tokens", m)
	}
	if c, ok := set.CapOf(MemberWorkspace, "press"); !ok || c.Share != 0.25 {
		t.Errorf("cap of workspace press: %+v, want share 0.25", c)
	}
	if s, _ := set.Service("booking"); len(s.IdempotentMethods) != 3 || s.Timeout != 30*time.Second {
		t.Errorf("service booking: %+v, want 3 idempotent methods and timeout 30s", s)
	}
	if p, ok := set.PlacementOf("llama-3.1"); !ok || len(p.Regions) != 2 {
		t.Errorf("placement of llama-3.1: %+v, want 2 regions", p)
	}
	if !set.Drained("runner-1") || set.WithOffset(9).Offset != 9 || set.Offset != 7 {
		t.Errorf("runner-1 drained: %t, offset after WithOffset(9): %d, offset of the original: %d, want true, 9 and 7",
			set.Drained("runner-1"), set.WithOffset(9).Offset, set.Offset)
	}
}

// Guards against output of ferryctl get that changes an object when it is published again, and against the INI library
// reading a dot in a section name as inheritance, by which llama-3.1.b would take values of llama-3.1.
func TestRenderRoundTrip(t *testing.T) {
	first := parse(t, goodFile).Objects
	second := parse(t, Render(first)).Objects
	if len(first) != len(second) {
		t.Fatalf("objects after a round trip: %d, want %d", len(second), len(first))
	}
	for i := range first {
		if !proto.Equal(first[i], second[i]) {
			t.Errorf("object after a round trip: %v, want %v", second[i], first[i])
		}
	}
}

// Guards against problems that are reported one at a time or without file and line.
func TestProblemsCarryLines(t *testing.T) {
	text := "[modal \"a\"]\n[model a]\n[model \"b\"]\nversion = 1\nbites = 3GiB\n[adapter \"b\"]\nmodel = x\nbytes = 1e9\n"
	s := NewSource()
	problems := s.Add("a.ini", []byte(text))
	problems = append(problems, s.Add("b.ini", []byte("[model \"b\"]\n"))...)
	_, invalid := NewSet(0, s.Objects)
	problems = append(problems, s.Locate(invalid)...)
	want := []string{
		`a.ini:1: modal "a": unknown kind; did you mean model?`,
		`a.ini:2: model a: section needs the form [kind "name"]`,
		`b.ini:1: model "b": object is repeated; first at a.ini:3`,
		`a.ini:6: adapter/b: a model has the same name`,
		`a.ini:8: adapter/b: bytes: "1e9" is not a size such as 16GiB`,
		`a.ini:7: adapter/b: model: model "x" does not exist`,
		`a.ini:5: model/b: bites: unknown key; did you mean bytes?`,
		`a.ini:3: model/b: bytes: required key is missing`,
	}
	if got := Problems(problems).Error(); got != strings.Join(want, "\n") {
		t.Fatalf("problems are\n%s\nwant\n%s", got, strings.Join(want, "\n"))
	}
}
