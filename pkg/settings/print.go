package settings

import (
	"fmt"
	"io"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/inifile"
)

// Print writes the settings in dst as an INI file that Load reads back to the same values.
func Print(w io.Writer, dst any) error {
	var b strings.Builder
	for i, s := range sectionsOf(dst) {
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "[%s]\n", s.name)
		for _, f := range s.fields {
			b.WriteString(strings.TrimRight(f.key+" = "+inifile.Quote(format(f.value)), " ") + "\n")
		}
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return failure.Wrap(failure.Internal, failure.NotRun, "settings cannot be written", err)
	}
	return nil
}
