package cluster

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// settingsFile maps section.key to the value of a setting of one daemon.
type settingsFile map[string]string

// override returns a copy of the settings in which the values of other take precedence.
func (s settingsFile) override(other map[string]string) settingsFile {
	out := maps.Clone(s)
	maps.Copy(out, other)
	return out
}

// String returns the settings as INI text, sorted by name.
func (s settingsFile) String() string {
	var b strings.Builder
	section := ""
	for _, name := range slices.Sorted(maps.Keys(s)) {
		head, key, _ := strings.Cut(name, ".")
		if head != section {
			section = head
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		fmt.Fprintf(&b, "%s = %s\n", key, s[name])
	}
	return b.String()
}
