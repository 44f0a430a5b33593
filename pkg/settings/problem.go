package settings

import (
	"fmt"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
)

// Problem is one error in a settings file.
type Problem struct {
	File string
	// Line counts from 1; 0 means that the section or key is not in the file.
	Line    int
	Section string
	Key     string
	Message string
}

// String returns file:line: [section] key: message, leaving out empty parts.
func (p Problem) String() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	subject := p.Key
	if p.Section != "" {
		subject = strings.TrimSpace("[" + p.Section + "] " + p.Key)
	}
	var parts []string
	for _, part := range []string{location, subject, p.Message} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// Problems are all errors in a settings file. They are the cause of the failure that Load returns, where errors.As finds
// them.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Checker is implemented by settings structs with rules that span several keys.
type Checker interface {
	// Check returns the violations, with section and key; Load adds the file and the line. It is called only if every
	// key is valid by itself.
	Check() []Problem
}

func problemsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	message := fmt.Sprintf("settings have %d problems", len(problems))
	return failure.Wrap(failure.SettingsInvalid, failure.NotRun, message, Problems(problems))
}
