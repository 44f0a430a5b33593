package object

import (
	"fmt"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
)

// Problem is one fault of a set of objects.
type Problem struct {
	// File and Line are empty for objects that do not come from a file.
	File string `json:"file,omitempty"`
	// Line counts from 1.
	Line int `json:"line,omitempty"`
	// Object is kind/name; empty if no object is concerned.
	Object  string `json:"object,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String returns file:line: object: key: message without the parts that are empty.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	var parts []string
	for _, part := range []string{place, p.Object, p.Key, p.Message} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// Problems are all faults of a set; errors.As finds them in a failure of Refuse.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Refuse returns a failure with code ObjectInvalid that carries the problems; nil without problems.
func Refuse(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	message := fmt.Sprintf("configuration has %d problems", len(problems))
	return failure.Wrap(failure.ObjectInvalid, failure.NotRun, message, Problems(problems))
}
