package settings

import (
	"fmt"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
)

// Problem is one fault of a settings file.
type Problem struct {
	File string
	// Line counts from 1; 0 means that the key is absent from the file.
	Line    int
	Section string
	Key     string
	Message string
}

// String returns file:line: [section] key: message without the parts that are empty.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	subject := p.Key
	if p.Section != "" {
		subject = strings.TrimSpace("[" + p.Section + "] " + p.Key)
	}
	var parts []string
	for _, part := range []string{place, subject, p.Message} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// Problems are all faults of a settings file; errors.As finds them in a failure of Load.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Checker is implemented by settings with rules over several keys.
type Checker interface {
	// Check returns the faults; Load fills in the file and the line of section and key.
	Check() []Problem
}

func refuse(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	message := fmt.Sprintf("settings have %d problems", len(problems))
	return failure.Wrap(failure.SettingsInvalid, failure.NotRun, message, Problems(problems))
}
