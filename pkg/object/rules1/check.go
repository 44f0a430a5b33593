package rules1

import (
	"cmp"
	"strconv"
)

// maxValue is the largest length of a value in bytes; longer ones would swell every checkpoint.
const maxValue = 1024

// maxName is the largest length of a name in bytes.
const maxName = 128

// validName allows letters, digits and the marks . _ - after the first character, which is a letter or digit.
// Names appear in URLs and in kind/name pairs.
func validName(name string) bool {
	if name == "" || len(name) > maxName {
		return false
	}
	for i := range len(name) {
		if !alphanumeric(name[i]) && (i == 0 || !mark(name[i])) {
			return false
		}
	}
	return true
}

func alphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

func mark(c byte) bool {
	return c == '.' || c == '_' || c == '-'
}

// checkValue returns a message, or "" if the raw value fits the key.
func checkValue(key Key, raw string) string {
	if len(raw) > maxValue {
		return "value is longer than " + strconv.Itoa(maxValue) + " bytes"
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

func checkRange[T cmp.Ordered](key Key, raw string, read func(string) (T, bool), want string) string {
	value, ok := read(raw)
	if !ok {
		return strconv.Quote(raw) + " is not " + want
	}
	if least, ok := read(key.Min); ok && value < least {
		return raw + " is below the minimum " + key.Min
	}
	if most, ok := read(key.Max); ok && value > most {
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
