package rules1

import (
	"math"
	"math/bits"
	"strconv"
	"strings"
	"time"
)

// unit is a unit of size and its number of bytes.
type unit struct {
	suffix string
	factor uint64
}

// sizeUnits returns the units of sizes. B must be last, because the other suffixes end in B too.
func sizeUnits() []unit {
	return []unit{{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
}

// ParseSize parses a size in bytes: a whole number with an optional unit B, KiB, MiB, GiB or TiB. It returns false for
// other text and for sizes that overflow 64 bits.
func ParseSize(s string) (uint64, bool) {
	factor := uint64(1)
	for _, u := range sizeUnits() {
		if number, ok := strings.CutSuffix(s, u.suffix); ok {
			s = number
			factor = u.factor
			break
		}
	}
	whole, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, false
	}
	high, low := bits.Mul64(whole, factor)
	return low, high == 0
}

// ParseDuration parses a duration such as 620ms.
func ParseDuration(s string) (time.Duration, bool) {
	d, err := time.ParseDuration(s)
	return d, err == nil
}

// ParseInteger parses a whole number.
func ParseInteger(s string) (int64, bool) {
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil
}

// ParseNumber parses a finite floating-point number.
func ParseNumber(s string) (float64, bool) {
	f, err := strconv.ParseFloat(s, 64)
	return f, err == nil && !math.IsNaN(f) && !math.IsInf(f, 0)
}

// ParseList parses a comma-separated list and leaves out empty items.
func ParseList(s string) []string {
	var out []string
	for _, item := range strings.Split(s, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

// ParseMember parses the kind/name of a model, adapter or workspace.
func ParseMember(s string) (kind, name string, ok bool) {
	kind, name, ok = strings.Cut(s, "/")
	member := kind == KindModel || kind == KindAdapter || kind == KindWorkspace
	return kind, name, ok && member && name != ""
}

// Value returns the raw value of the key in values, or the key's default if it is absent.
func (k Key) Value(values map[string]string) string {
	if raw, ok := values[k.Name]; ok {
		return raw
	}
	return k.Default
}
