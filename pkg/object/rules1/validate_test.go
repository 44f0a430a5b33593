package rules1

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// shorten truncates very long sample names and values to keep the golden file readable.
func shorten(s string) string {
	if len(s) > 100 {
		return fmt.Sprintf("%s...(%d)", s[:20], len(s))
	}
	return s
}

func renderVerdict(s sample) string {
	var b strings.Builder
	problems := Validate(s.objects)
	fmt.Fprintf(&b, "%q accepted=%t\n", shorten(s.name), len(problems) == 0)
	for _, p := range problems {
		fmt.Fprintf(&b, "  %s/%s %s: %s\n", p.Kind, shorten(p.Name), p.Key, shorten(p.Message))
	}
	return b.String()
}

// Guards against a release that accepts a recorded change set which earlier releases refused, or the reverse.
// The golden file must never change; a changed rule needs a new rules version.
func TestVerdictsAreFrozen(t *testing.T) {
	var b strings.Builder
	for _, s := range corpus() {
		b.WriteString(renderVerdict(s))
	}
	goldie.New(t).Assert(t, "verdicts", []byte(b.String()))
}

// Guards against verdicts that depend on the order of the objects, which differs between processes.
func TestVerdictIgnoresOrder(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	for _, s := range corpus() {
		want := renderVerdict(s)
		for range 5 {
			shuffled := sample{name: s.name, objects: slices.Clone(s.objects)}
			random.Shuffle(len(shuffled.objects), func(i, j int) {
				shuffled.objects[i], shuffled.objects[j] = shuffled.objects[j], shuffled.objects[i]
			})
			if got := renderVerdict(shuffled); got != want {
				t.Fatalf("verdict on shuffled objects: %s, want %s", got, want)
			}
		}
	}
}
