package eventlog

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

const catalogPage = "../../docs/log-events.md"

var update = flag.Bool("update", false, "rewrite docs/log-events.md from the table in code")

// Guards against an event that is missing from docs/log-events.md or described differently there.
func TestCatalogPageMatchesCode(t *testing.T) {
	want := renderCatalog()
	if *update {
		if err := os.WriteFile(catalogPage, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(catalogPage)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Fatal("docs/log-events.md differs from the catalog; run: go test ./pkg/eventlog -update")
	}
}

// Guards against two events with the same number.
func TestCatalogNumbersAreUnique(t *testing.T) {
	seen := map[int]string{}
	for _, e := range Catalog() {
		if other, ok := seen[e.ID]; ok {
			t.Errorf("event number F%04d is used by both %q and %q", e.ID, other, e.Message)
		}
		seen[e.ID] = e.Message
	}
}

func renderCatalog() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line carries one of these numbers. ")
	b.WriteString("The page is generated from the event catalog in `pkg/eventlog`; a test compares the two.\n\n")
	b.WriteString("| event | level | message | meaning |\n|---|---|---|---|\n")
	for _, e := range Catalog() {
		fmt.Fprintf(&b, "| F%04d | %s | %s | %s |\n", e.ID, e.Level, e.Message, e.Meaning)
	}
	return b.String()
}
