package ctl

import (
	"fmt"
	"slices"

	"trefoilferry.example/ferry/pkg/object"
)

// ValidateResult counts the objects of a valid configuration.
type ValidateResult struct {
	Valid bool `json:"valid"`
	// Objects maps each kind to its number of objects.
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

// ReadFiles reads files for Publish. Its failure has code ObjectInvalid and lists every line that cannot be parsed.
func ReadFiles(paths []string) (*object.Source, error) {
	source, problems := object.ReadFiles(paths...)
	return source, object.ProblemsError(problems)
}

// Validate checks files as one complete configuration, without the log. Its failure has code ObjectInvalid and lists
// all problems.
func Validate(paths []string) (*ValidateResult, error) {
	source, problems := object.ReadFiles(paths...)
	_, invalid := object.NewSet(0, source.Objects)
	problems = slices.Concat(problems, source.Locate(invalid))
	if err := object.ProblemsError(problems); err != nil {
		return nil, err
	}
	counts := map[string]int{}
	for _, o := range source.Objects {
		counts[o.Kind]++
	}
	return &ValidateResult{Valid: true, Objects: counts}, nil
}
