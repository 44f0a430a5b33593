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

// Guards against a reference page that names keys, defaults or ranges which the rules do not have.
func TestConfigurationPageMatchesRules(t *testing.T) {
	data, err := os.ReadFile(configurationPage)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, _ := strings.Cut(string(data), referenceBegin)
	_, after, found := strings.Cut(rest, referenceEnd)
	if !found {
		t.Fatal("page has no marks around the reference")
	}
	want := before + referenceBegin + "\n" + Reference() + referenceEnd + after
	if *update {
		if err := os.WriteFile(configurationPage, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if string(data) != want {
		t.Fatal("page differs; run: go test ./pkg/object -update")
	}
}

// Guards against an example on the page that the rules refuse.
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
		t.Fatal(len(source.Objects), Problems(problems))
	}
}
