package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// childSectionDelimiter replaces the dot, by which the ini library makes one section inherit from another: model names
// contain dots.
const childSectionDelimiter = "\x00"

// Parse parses data. It returns all malformed lines and all duplicate sections and keys at once;
// the file is nil if there is any problem.
func Parse(data []byte) (*File, []Problem) {
	sections, problems := scan(data)
	problems = append(problems, findDuplicates(sections)...)
	if len(problems) > 0 {
		return nil, problems
	}
	parsed, err := ini.LoadSources(options(), data)
	if err != nil {
		return nil, []Problem{{Message: err.Error()}}
	}
	return readValues(sections, parsed)
}

func options() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    childSectionDelimiter,
		SpaceBeforeInlineComment: true,
	}
}

func findDuplicates(sections []Section) []Problem {
	var problems []Problem
	seen := map[string]int{}
	for _, section := range sections {
		if first, ok := seen[section.Name]; ok {
			message := fmt.Sprintf("section is repeated; first at line %d", first)
			problems = append(problems, Problem{Line: section.Line, Section: section.Name, Message: message})
			continue
		}
		seen[section.Name] = section.Line
		problems = append(problems, findDuplicateKeys(section)...)
	}
	return problems
}

func findDuplicateKeys(section Section) []Problem {
	var problems []Problem
	seen := map[string]int{}
	for _, key := range section.Keys {
		if first, ok := seen[key.Name]; ok {
			message := fmt.Sprintf("key is repeated; first at line %d", first)
			problems = append(problems, Problem{Line: key.Line, Section: section.Name, Key: key.Name, Message: message})
			continue
		}
		seen[key.Name] = key.Line
	}
	return problems
}

// readValues fills in the values parsed by the library and checks that it found the same sections and keys.
func readValues(sections []Section, parsed *ini.File) (*File, []Problem) {
	var problems []Problem
	for i, section := range sections {
		parsedSection, err := parsed.GetSection(section.Name)
		if err != nil {
			problems = append(problems, Problem{Line: section.Line, Section: section.Name, Message: err.Error()})
			continue
		}
		for j, key := range section.Keys {
			if !parsedSection.HasKey(key.Name) {
				problems = append(problems, Problem{Line: key.Line, Section: section.Name, Key: key.Name, Message: "key cannot be read"})
				continue
			}
			value := parsedSection.Key(key.Name).Value()
			if strings.Contains(value, `"`) {
				problems = append(problems, Problem{Line: key.Line, Section: section.Name, Key: key.Name, Message: "value has a stray double quote"})
			}
			sections[i].Keys[j].Value = value
		}
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return &File{Sections: sections}, nil
}
