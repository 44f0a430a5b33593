package cluster

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// settingsFile holds the settings of one daemon as section.key to value.
type settingsFile map[string]string

// with returns the settings with other values on top.
func (s settingsFile) with(other map[string]string) settingsFile {
	out := maps.Clone(s)
	maps.Copy(out, other)
	return out
}

// String returns the INI text.
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
