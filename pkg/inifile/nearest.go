package inifile

import (
	"slices"

	"github.com/agnivade/levenshtein"
)

// minTolerance is the Levenshtein distance that is accepted for a suggestion even if the name is short. It is 2 because
// two swapped letters count as two edits.
const minTolerance = 2

// Nearest returns the known name with the smallest Levenshtein distance from name, the first in alphabetical order on a
// tie. It returns "" if that distance exceeds both half the length of name and minTolerance, or is not less than the
// length of name.
func Nearest(name string, known []string) string {
	nearest := ""
	nearestDistance := min(max(len(name)/2, minTolerance)+1, len(name))
	for _, candidate := range slices.Sorted(slices.Values(known)) {
		if d := levenshtein.ComputeDistance(name, candidate); d < nearestDistance {
			nearest = candidate
			nearestDistance = d
		}
	}
	return nearest
}

// Suggest returns "; did you mean X?" for the nearest known name, or "" if none is near enough.
func Suggest(name string, known []string) string {
	if nearest := Nearest(name, known); nearest != "" {
		return "; did you mean " + nearest + "?"
	}
	return ""
}
