package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// ReferenceMarkdown returns Markdown text with a heading and a table of keys for each section of dst.
func ReferenceMarkdown(dst any) string {
	var b strings.Builder
	for _, s := range sectionsOf(dst) {
		fmt.Fprintf(&b, "### [%s]\n\n", s.name)
		if s.doc != "" {
			b.WriteString(s.doc + "\n\n")
		}
		b.WriteString("| key | type | default | range | meaning |\n|---|---|---|---|---|\n")
		for _, f := range s.fields {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", f.key, typeName(f.value), defaultText(f), rangeText(f), f.doc)
		}
		b.WriteString("\n")
	}
	return b.String()
}

func typeName(v reflect.Value) string {
	switch {
	case v.Type() == bytesType:
		return "size"
	case v.Type() == durationType:
		return "duration"
	case v.Type() == listType:
		return "list"
	case v.CanInt() || v.CanUint():
		return "whole number"
	case v.CanFloat():
		return "number"
	case v.Kind() == reflect.Bool:
		return "true or false"
	}
	return "text"
}

func defaultText(f field) string {
	switch {
	case f.defaultValue != "":
		return "`" + f.defaultValue + "`"
	case f.required:
		return "required"
	}
	return "empty"
}

func rangeText(f field) string {
	switch {
	case f.min != "" && f.max != "":
		return f.min + " to " + f.max
	case f.min != "":
		return "from " + f.min
	case f.max != "":
		return "up to " + f.max
	}
	return ""
}
