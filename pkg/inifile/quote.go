package inifile

import "strings"

// Quote returns value such that Parse reads it back: in double quotes if it has the marks of a comment or a
// quote, or outer spaces. Parse returns no value with a double quote in it, so that none needs an escape.
func Quote(value string) string {
	if strings.ContainsAny(value, "#;'`") || strings.TrimSpace(value) != value {
		return `"` + value + `"`
	}
	return value
}
