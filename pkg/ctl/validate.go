package ctl

import (
	"fmt"
	"slices"

	"trefoilferry.example/ferry/pkg/object"
)

// ValidateResult tells the size of a valid set.
type ValidateResult struct {
	Valid bool `json:"valid"`
	// Objects is the number of objects by kind.
	Objects map[string]int `json:"objects"`
}

// Text returns one line with the number of objects.
func (r *ValidateResult) Text() string {
	total := 0
	for _, n := range r.Objects {
		total += n
	}
	return fmt.Sprintf("valid: %d objects\n", total)
}

// Load reads files for publication. The failure has code ObjectInvalid and carries every line that cannot be read.
func Load(paths []string) (*object.Source, error) {
	source, problems := object.ReadFiles(paths...)
	return source, object.Refuse(problems)
}

// Validate checks files as one whole set without a log. The failure has code ObjectInvalid and carries all problems.
func Validate(paths []string) (*ValidateResult, error) {
	source, problems := object.ReadFiles(paths...)
	_, invalid := object.NewSet(0, source.Objects)
	problems = slices.Concat(problems, source.Locate(invalid))
	if err := object.Refuse(problems); err != nil {
		return nil, err
	}
	counts := map[string]int{}
	for _, o := range source.Objects {
		counts[o.Kind]++
	}
	return &ValidateResult{Valid: true, Objects: counts}, nil
}
