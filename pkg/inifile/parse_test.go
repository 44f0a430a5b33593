package inifile

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a panic on arbitrary input, and against lines that the library reads differently from the scanner,
// so that a key would be lost without a reported problem.
func TestParseKeepsEveryLine(t *testing.T) {
	line := rapid.SampledFrom([]string{
		"[a]", "[a.b]", "[b \"x\"]", "[DEFAULT]", "[c", "k = v", "k=v # c", "l =", "= v", "m", "\\", "n = \\", "o = \"q", "p = %(k)s",
		"r = '''", "s = \"\"\"", "# c", "; c", "  t  =  u  ", "\ufeffv = 1", "w: x", "x == y", "[]", "[ d ]", "é = ü", "\x00 = 1", "-=-", "y = `z`",
	})
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(line, 0, 8).Draw(t, "lines")
		file, problems := Parse([]byte(strings.Join(lines, "\n")))
		if (file == nil) != (len(problems) > 0) {
			t.Fatalf("Parse of %q: file %v with problems %v, want either a file or problems", lines, file, problems)
		}
		if file == nil {
			return
		}
		keys := 0
		for _, s := range file.Sections {
			keys += len(s.Keys)
		}
		wanted := slices.DeleteFunc(lines, func(l string) bool { return l[0] == '#' || l[0] == ';' || l[0] == '[' })
		if keys != len(wanted) {
			t.Fatalf("keys parsed from %q: %d, want %d", lines, keys, len(wanted))
		}
	})
}
