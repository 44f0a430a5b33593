package inifile

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a panic on arbitrary files, and against lines that the library reads differently from the
// scan, so that a key would vanish without a problem.
func TestParseKeepsEveryLine(t *testing.T) {
	line := rapid.SampledFrom([]string{
		"[a]", "[a.b]", "[b \"x\"]", "[DEFAULT]", "[c", "k = v", "k=v # c", "l =", "= v", "m", "\\", "n = \\", "o = \"q", "p = %(k)s",
		"r = '''", "s = \"\"\"", "# c", "; c", "  t  =  u  ", "\ufeffv = 1", "w: x", "x == y", "[]", "[ d ]", "é = ü", "\x00 = 1", "-=-", "y = `z`",
	})
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(line, 0, 8).Draw(t, "lines")
		file, problems := Parse([]byte(strings.Join(lines, "\n")))
		if (file == nil) != (len(problems) > 0) {
			t.Fatal(file, problems)
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
			t.Fatalf("%d keys from %q", keys, lines)
		}
	})
}
