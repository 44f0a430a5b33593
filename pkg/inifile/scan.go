package inifile

import (
	"bytes"
	"strings"
)

// scan finds the line numbers of sections and keys, and all malformed lines.
// The ini library reports no line numbers and only the first malformed line.
func scan(data []byte) ([]Section, []Problem) {
	var s scanner
	for i, line := range strings.Split(string(bytes.TrimPrefix(data, utf8BOM)), "\n") {
		s.scanLine(i+1, strings.TrimSpace(line))
	}
	return s.sections, s.problems
}

// utf8BOM is the byte order mark that some editors write.
var utf8BOM = []byte("\xef\xbb\xbf")

type scanner struct {
	sections []Section
	problems []Problem
}

func (s *scanner) scanLine(lineNumber int, text string) {
	switch {
	case text == "" || text[0] == '#' || text[0] == ';':
	case text[0] == '[':
		s.scanSection(lineNumber, text)
	default:
		s.scanKey(lineNumber, text)
	}
}

func (s *scanner) scanSection(lineNumber int, text string) {
	end := strings.LastIndexByte(text, ']')
	name := strings.TrimSpace(text[1:max(1, end)])
	if end < 0 || name == "" {
		s.addProblem(lineNumber, "", "section needs a name in brackets")
		return
	}
	s.sections = append(s.sections, Section{Name: name, Line: lineNumber})
}

func (s *scanner) scanKey(lineNumber int, text string) {
	name, value, found := strings.Cut(text, "=")
	name = strings.TrimSpace(name)
	value = strings.TrimSpace(value)
	switch {
	case !found:
		s.addProblem(lineNumber, name, "line is neither a section nor key = value")
	case name == "":
		s.addProblem(lineNumber, "", "key has no name")
	case len(s.sections) == 0:
		s.addProblem(lineNumber, name, "key stands before the first section")
	case strings.HasPrefix(name, `"`) || strings.HasPrefix(name, "`"):
		s.addProblem(lineNumber, name, "quoted key names are not supported")
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		s.addProblem(lineNumber, name, "values over several lines are not supported")
	default:
		current := &s.sections[len(s.sections)-1]
		current.Keys = append(current.Keys, Key{Name: name, Line: lineNumber})
	}
}

func (s *scanner) addProblem(lineNumber int, key, message string) {
	section := ""
	if len(s.sections) > 0 {
		section = s.sections[len(s.sections)-1].Name
	}
	s.problems = append(s.problems, Problem{Line: lineNumber, Section: section, Key: key, Message: message})
}
