package object

import (
	"fmt"
	"strings"

	"trefoilferry.example/ferry/pkg/object/rules1"
)

// ReferenceMarkdown returns the Markdown text for docs/configuration.md that describes all kinds and their keys.
func ReferenceMarkdown() string {
	var b strings.Builder
	for _, kind := range rules1.Kinds() {
		fmt.Fprintf(&b, "### %s\n\n%s\n\n", kind.Name, kind.Doc)
		if len(kind.Keys) == 0 {
			continue
		}
		b.WriteString("| key | type | default | range | meaning |\n|---|---|---|---|---|\n")
		for _, key := range kind.Keys {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", key.Name, typeText(key), defaultText(key), rangeText(key), key.Doc)
		}
		b.WriteString("\n")
	}
	return b.String()
}

func typeText(key rules1.Key) string {
	switch key.Type {
	case rules1.Size:
		return "size"
	case rules1.Duration:
		return "duration"
	case rules1.Integer:
		return "whole number"
	case rules1.Number:
		return "number"
	case rules1.List:
		return "list"
	case rules1.Reference:
		return "name of a " + key.Kind
	case rules1.Member:
		return "kind/name"
	case rules1.Text:
	}
	return "text"
}

func defaultText(key rules1.Key) string {
	if key.Default == "" {
		return "required"
	}
	return "`" + key.Default + "`"
}

func rangeText(key rules1.Key) string {
	if key.Min == "" {
		return ""
	}
	return key.Min + " to " + key.Max
}
