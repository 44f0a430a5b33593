package inifile

import (
	"bytes"
	"strings"
)

// scan finds the lines of sections and keys, and lines that are neither.
// The ini library reports neither line numbers nor more than one faulty line.
func scan(data []byte) ([]Section, []Problem) {
	var s scanner
	for i, line := range strings.Split(string(bytes.TrimPrefix(data, utf8Mark)), "\n") {
		s.line(i+1, strings.TrimSpace(line))
	}
	return s.sections, s.problems
}

// utf8Mark is the byte order mark that some editors write.
var utf8Mark = []byte("\xef\xbb\xbf")

type scanner struct {
	sections []Section
	problems []Problem
}

func (s *scanner) line(number int, text string) {
	switch {
	case text == "" || text[0] == '#' || text[0] == ';':
	case text[0] == '[':
		s.section(number, text)
	default:
		s.key(number, text)
	}
}

func (s *scanner) section(number int, text string) {
	end := strings.LastIndexByte(text, ']')
	name := strings.TrimSpace(text[1:max(1, end)])
	if end < 0 || name == "" {
		s.add(number, "", "section needs a name in brackets")
		return
	}
	s.sections = append(s.sections, Section{Name: name, Line: number})
}

func (s *scanner) key(number int, text string) {
	name, value, found := strings.Cut(text, "=")
	name = strings.TrimSpace(name)
	value = strings.TrimSpace(value)
	switch {
	case !found:
		s.add(number, name, "line is neither a section nor key = value")
	case name == "":
		s.add(number, "", "key has no name")
	case len(s.sections) == 0:
		s.add(number, name, "key stands before the first section")
	case strings.HasPrefix(name, `"`) || strings.HasPrefix(name, "`"):
		s.add(number, name, "quoted key names are not supported")
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		s.add(number, name, "values over several lines are not supported")
	default:
		last := &s.sections[len(s.sections)-1]
		last.Keys = append(last.Keys, Key{Name: name, Line: number})
	}
}

func (s *scanner) add(number int, key, message string) {
	section := ""
	if len(s.sections) > 0 {
		section = s.sections[len(s.sections)-1].Name
	}
	s.problems = append(s.problems, Problem{Line: number, Section: section, Key: key, Message: message})
}
