package inifile

import "strings"

// Quote returns value in the form that Parse reads back to the same value: in double quotes if it contains comment or
// quote characters or has leading or trailing space. Double quotes need no escape, because Parse refuses values that
// contain them.
func Quote(value string) string {
	if strings.ContainsAny(value, "#;'`") || strings.TrimSpace(value) != value {
		return `"` + value + `"`
	}
	return value
}
