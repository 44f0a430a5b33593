package rules1

import (
	"math"
	"math/bits"
	"strconv"
	"strings"
	"time"
)

// unit is a suffix of a size.
type unit struct {
	suffix string
	factor uint64
}

// sizeUnits returns the units; B comes last because every other suffix ends in it.
func sizeUnits() []unit {
	return []unit{{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
}

// ParseSize reads a whole number of bytes with an optional unit B, KiB, MiB, GiB or TiB.
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

// ParseDuration reads a duration such as 620ms.
func ParseDuration(s string) (time.Duration, bool) {
	d, err := time.ParseDuration(s)
	return d, err == nil
}

// ParseInteger reads a whole number.
func ParseInteger(s string) (int64, bool) {
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil
}

// ParseNumber reads a finite decimal number.
func ParseNumber(s string) (float64, bool) {
	f, err := strconv.ParseFloat(s, 64)
	return f, err == nil && !math.IsNaN(f) && !math.IsInf(f, 0)
}

// ParseList reads names separated by commas; empty items are left out.
func ParseList(s string) []string {
	var out []string
	for _, item := range strings.Split(s, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

// ParseMember reads kind/name of a model, adapter or workspace.
func ParseMember(s string) (kind, name string, ok bool) {
	kind, name, ok = strings.Cut(s, "/")
	member := kind == KindModel || kind == KindAdapter || kind == KindWorkspace
	return kind, name, ok && member && name != ""
}

// Value returns the raw value of the key, or its default if values has none.
func (k Key) Value(values map[string]string) string {
	if raw, ok := values[k.Name]; ok {
		return raw
	}
	return k.Default
}
