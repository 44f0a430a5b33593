package object

import (
	"fmt"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
)

// Problem is one error in a set of objects.
type Problem struct {
	// File and Line are empty for objects that do not come from a file.
	File string `json:"file,omitempty"`
	// Line counts from 1.
	Line int `json:"line,omitempty"`
	// Object is the kind/name of the object with the error, or empty.
	Object  string `json:"object,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String returns file:line: object: key: message, leaving out empty parts.
func (p Problem) String() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	var parts []string
	for _, part := range []string{location, p.Object, p.Key, p.Message} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// Problems are all errors in a set. ProblemsError wraps them in a failure, in which errors.As finds them.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// ProblemsError returns a failure with code ObjectInvalid that wraps the problems, or nil if there are none.
func ProblemsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	message := fmt.Sprintf("configuration has %d problems", len(problems))
	return failure.Wrap(failure.ObjectInvalid, failure.NotRun, message, Problems(problems))
}
