package settings

import (
	"cmp"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"
)

var (
	bytesType    = reflect.TypeFor[Bytes]()
	durationType = reflect.TypeFor[time.Duration]()
	listType     = reflect.TypeFor[[]string]()
)

// parse sets v to the value of text. It returns an error message, or "" on success.
func parse(v reflect.Value, text string) string {
	switch {
	case v.Type() == bytesType:
		return parseInto(v, text, ParseBytes, "a size such as 16GiB")
	case v.Type() == durationType:
		return parseInto(v, text, time.ParseDuration, "a duration such as 250ms or 5s")
	case v.Type() == listType:
		v.Set(reflect.ValueOf(splitList(text)))
		return ""
	}
	return parseKind(v, text)
}

func parseInto[T any](v reflect.Value, text string, read func(string) (T, error), expected string) string {
	value, err := read(text)
	if err != nil {
		return notValid(text, expected)
	}
	v.Set(reflect.ValueOf(value).Convert(v.Type()))
	return ""
}

func parseKind(v reflect.Value, text string) string {
	bitSize := 64
	if v.CanInt() || v.CanUint() || v.CanFloat() {
		bitSize = v.Type().Bits()
	}
	switch {
	case v.Kind() == reflect.String:
		v.SetString(text)
		return ""
	case v.Kind() == reflect.Bool:
		return parseInto(v, text, parseBool, "true or false")
	case v.CanInt():
		return parseInto(v, text, func(s string) (int64, error) { return strconv.ParseInt(s, 10, bitSize) }, "a whole number")
	case v.CanUint():
		return parseInto(v, text, func(s string) (uint64, error) { return strconv.ParseUint(s, 10, bitSize) }, "a whole number from 0 on")
	case v.CanFloat():
		return parseInto(v, text, func(s string) (float64, error) { return parseFinite(s, bitSize) }, "a number")
	}
	return "type " + v.Type().String() + " is not supported"
}

func parseBool(s string) (bool, error) {
	if s == "true" || s == "false" {
		return s == "true", nil
	}
	return false, strconv.ErrSyntax
}

func parseFinite(s string, bitSize int) (float64, error) {
	value, err := strconv.ParseFloat(s, bitSize)
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return 0, strconv.ErrRange
	}
	return value, err
}

func notValid(text, expected string) string {
	return strconv.Quote(text) + " is not " + expected
}

func splitList(text string) []string {
	var out []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

// format is the inverse of parse.
func format(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case Bytes:
		return value.String()
	case time.Duration:
		return value.String()
	case []string:
		return strings.Join(value, ", ")
	case float64:
		return strconv.FormatFloat(value, 'g', -1, 64)
	}
	switch {
	case v.CanInt():
		return strconv.FormatInt(v.Int(), 10)
	case v.CanUint():
		return strconv.FormatUint(v.Uint(), 10)
	case v.Kind() == reflect.Bool:
		return strconv.FormatBool(v.Bool())
	}
	return v.String()
}

// compare compares two values of the same numeric type; values of other types compare as equal.
func compare(a, b reflect.Value) int {
	switch {
	case a.CanInt():
		return cmp.Compare(a.Int(), b.Int())
	case a.CanUint():
		return cmp.Compare(a.Uint(), b.Uint())
	case a.CanFloat():
		return cmp.Compare(a.Float(), b.Float())
	}
	return 0
}
