package object

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// Guards against values with comment marks, quotes or escapes that change when the output of ferryctl get is published
// again.
func TestRenderedValuesReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.SampledFrom([]rune("ab \"'`#;\\=%()[]$:,\t")), 0, 12, -1).Draw(t, "text")
		first := NewSource()
		if problems := first.Add("a", []byte("[model \"m\"]\nversion = "+text+"\nbytes = 1\n")); len(problems) > 0 {
			return
		}
		rendered := Render(first.Objects)
		second := NewSource()
		if problems := second.Add("b", []byte(rendered)); len(problems) > 0 {
			t.Fatalf("rendered text %q has problems: %v", rendered, problems)
		}
		if !proto.Equal(first.Objects[0], second.Objects[0]) {
			t.Fatalf("values after a round trip through %q: %q, want %q", rendered, second.Objects[0].Values, first.Objects[0].Values)
		}
	})
}
