package object

import (
	"flag"
	"os"
	"strings"
	"testing"
)

const (
	configurationPage = "../../docs/configuration.md"
	referenceBegin    = "<!-- reference begin -->\n"
	referenceEnd      = "<!-- reference end -->"
)

var update = flag.Bool("update", false, "rewrite the reference in docs/configuration.md")

// Guards against a configuration page whose keys, defaults or ranges differ from those of the rules.
func TestConfigurationPageMatchesRules(t *testing.T) {
	data, err := os.ReadFile(configurationPage)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, _ := strings.Cut(string(data), referenceBegin)
	_, after, found := strings.Cut(rest, referenceEnd)
	if !found {
		t.Fatal("docs/configuration.md has no begin and end markers around the reference")
	}
	want := before + referenceBegin + "\n" + ReferenceMarkdown() + referenceEnd + after
	if *update {
		if err := os.WriteFile(configurationPage, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if string(data) != want {
		t.Fatal("docs/configuration.md differs from the rules; run: go test ./pkg/object -update")
	}
}

// Guards against an example on the configuration page that the rules reject.
func TestConfigurationPageExampleIsValid(t *testing.T) {
	data, err := os.ReadFile(configurationPage)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "```ini\n")
	example, _, _ := strings.Cut(rest, "```")
	source := NewSource()
	problems := source.Add("example", []byte(example))
	_, invalid := NewSet(0, source.Objects)
	if problems = append(problems, source.Locate(invalid)...); len(problems) > 0 || len(source.Objects) != 7 {
		t.Fatalf("example on the page: %d objects, want 7 of them and no problems: %v", len(source.Objects), Problems(problems))
	}
}
