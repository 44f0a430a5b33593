package rules1

import (
	"cmp"
	"strconv"
)

// maxValueBytes is the maximum length of a value. Longer values would inflate every checkpoint.
const maxValueBytes = 1024

const maxNameBytes = 128

// validName reports whether name consists of ASCII letters, digits and the characters . _ - and starts with a letter or
// digit. Names are restricted because they appear in URLs and in kind/name pairs.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		if !isAlphanumeric(name[i]) && (i == 0 || !isPunctuation(name[i])) {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

func isPunctuation(c byte) bool {
	return c == '.' || c == '_' || c == '-'
}

// checkValue returns the problem with a raw value of the key, or "" if the value is valid.
func checkValue(key Key, raw string) string {
	if len(raw) > maxValueBytes {
		return "value is longer than " + strconv.Itoa(maxValueBytes) + " bytes"
	}
	switch key.Type {
	case Size:
		return checkRange(key, raw, ParseSize, "a size such as 16GiB")
	case Duration:
		return checkRange(key, raw, ParseDuration, "a duration such as 620ms")
	case Integer:
		return checkRange(key, raw, ParseInteger, "a whole number")
	case Number:
		return checkRange(key, raw, ParseNumber, "a number")
	case List:
		return checkList(raw)
	case Member:
		return checkMember(raw)
	case Text, Reference:
	}
	if raw == "" {
		return "value is empty"
	}
	return ""
}

func checkRange[T cmp.Ordered](key Key, raw string, read func(string) (T, bool), expected string) string {
	value, ok := read(raw)
	if !ok {
		return strconv.Quote(raw) + " is not " + expected
	}
	if minimum, ok := read(key.Min); ok && value < minimum {
		return raw + " is below the minimum " + key.Min
	}
	if maximum, ok := read(key.Max); ok && value > maximum {
		return raw + " is above the maximum " + key.Max
	}
	return ""
}

func checkList(raw string) string {
	items := ParseList(raw)
	if len(items) == 0 {
		return "list is empty"
	}
	seen := map[string]bool{}
	for _, item := range items {
		if !validName(item) {
			return strconv.Quote(item) + " is not a valid name"
		}
		if seen[item] {
			return item + " is listed twice"
		}
		seen[item] = true
	}
	return ""
}

func checkMember(raw string) string {
	if _, _, ok := ParseMember(raw); !ok {
		return strconv.Quote(raw) + " is not model/NAME, adapter/NAME or workspace/NAME"
	}
	return ""
}
