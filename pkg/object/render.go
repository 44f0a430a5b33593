package object

import (
	"fmt"
	"strings"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/inifile"
	"trefoilferry.example/ferry/pkg/object/rules1"
)

// Render returns objects as INI text. Source.Add parses it into objects with the same values.
func Render(objects []*ferrypb.Object) string {
	var b strings.Builder
	for i, o := range objects {
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "[%s %q]\n", o.Kind, o.Name)
		kind, _ := rules1.FindKind(o.Kind)
		for _, key := range kind.Keys {
			if raw, ok := o.Values[key.Name]; ok {
				b.WriteString(key.Name + " = " + inifile.Quote(raw) + "\n")
			}
		}
	}
	return b.String()
}
