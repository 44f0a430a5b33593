package settings

import (
	"math"
	"math/bits"
	"strconv"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
)

// Bytes is a size in bytes, written with a binary unit such as 16GiB.
type Bytes uint64

// unit is a unit of size and its number of bytes.
type unit struct {
	suffix string
	factor uint64
}

// units are sorted from the largest to the smallest. B must be last, because the other suffixes end in B too.
var units = []unit{
	{"TiB", 1 << 40},
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// ParseBytes parses a size: a whole or decimal number with one of the units B, KiB, MiB, GiB, TiB;
// a number without a unit is in bytes. Errors are failures with code SettingsInvalid.
func ParseBytes(s string) (Bytes, error) {
	number, factor := splitUnit(s)
	if whole, err := strconv.ParseUint(number, 10, 64); err == nil {
		return multiply(s, whole, factor)
	}
	value, err := strconv.ParseFloat(number, 64)
	if err != nil || value < 0 || math.IsNaN(value) || value*float64(factor) >= math.MaxUint64 {
		return 0, invalidSize(s)
	}
	return Bytes(value * float64(factor)), nil
}

func splitUnit(s string) (string, uint64) {
	for _, u := range units {
		if number, ok := strings.CutSuffix(s, u.suffix); ok {
			return strings.TrimSpace(number), u.factor
		}
	}
	return s, 1
}

func multiply(s string, whole, factor uint64) (Bytes, error) {
	high, low := bits.Mul64(whole, factor)
	if high != 0 {
		return 0, invalidSize(s)
	}
	return Bytes(low), nil
}

func invalidSize(s string) error {
	return failure.New(failure.SettingsInvalid, failure.NotRun, strconv.Quote(s)+" is not a size such as 16GiB")
}

// String returns the size as a whole number of the largest unit that divides it.
func (b Bytes) String() string {
	for _, u := range units {
		if b != 0 && uint64(b)%u.factor == 0 {
			return strconv.FormatUint(uint64(b)/u.factor, 10) + u.suffix
		}
	}
	return "0B"
}
