package rules1

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// shorten keeps the golden file readable where a sample has a very long name or value.
func shorten(s string) string {
	if len(s) > 100 {
		return fmt.Sprintf("%s...(%d)", s[:20], len(s))
	}
	return s
}

func verdict(s sample) string {
	var b strings.Builder
	problems := Validate(s.objects)
	fmt.Fprintf(&b, "%q accepted=%t\n", shorten(s.name), len(problems) == 0)
	for _, p := range problems {
		fmt.Fprintf(&b, "  %s/%s %s: %s\n", p.Kind, shorten(p.Name), p.Key, shorten(p.Message))
	}
	return b.String()
}

// Guards against software whose verdict on a recorded change set differs from that of earlier software.
// The golden file must never change; a changed rule needs a new version.
func TestVerdictsAreFrozen(t *testing.T) {
	var b strings.Builder
	for _, s := range corpus() {
		b.WriteString(verdict(s))
	}
	goldie.New(t).Assert(t, "verdicts", []byte(b.String()))
}

// Guards against verdicts that depend on the order of objects, which differs between processes.
func TestVerdictIgnoresOrder(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	for _, s := range corpus() {
		want := verdict(s)
		for range 5 {
			shuffled := sample{name: s.name, objects: slices.Clone(s.objects)}
			random.Shuffle(len(shuffled.objects), func(i, j int) {
				shuffled.objects[i], shuffled.objects[j] = shuffled.objects[j], shuffled.objects[i]
			})
			if got := verdict(shuffled); got != want {
				t.Fatalf("got %s, want %s", got, want)
			}
		}
	}
}
