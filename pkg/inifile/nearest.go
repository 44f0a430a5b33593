package inifile

import (
	"slices"

	"github.com/agnivade/levenshtein"
)

// minDistance is the least number of differing letters that a suggestion tolerates:
// two swapped letters count as two differences.
const minDistance = 2

// Nearest returns the known name with the fewest differing letters, the first in name order on a tie.
// It returns "" when every name differs in more than half of its letters and in more than minDistance.
func Nearest(name string, known []string) string {
	best := ""
	least := min(max(len(name)/2, minDistance)+1, len(name))
	for _, candidate := range slices.Sorted(slices.Values(known)) {
		if d := levenshtein.ComputeDistance(name, candidate); d < least {
			best = candidate
			least = d
		}
	}
	return best
}

// Suggest returns "; did you mean X?" for the nearest known name, or "".
func Suggest(name string, known []string) string {
	if near := Nearest(name, known); near != "" {
		return "; did you mean " + near + "?"
	}
	return ""
}
