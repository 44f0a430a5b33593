package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// noInheritance replaces the dot that the ini library reads as a parent-child relation of sections;
// names of models contain dots.
const noInheritance = "\x00"

// Parse reads data. It returns every faulty line and every repeated section or key at once;
// the file is nil if there is any problem.
func Parse(data []byte) (*File, []Problem) {
	sections, problems := scan(data)
	problems = append(problems, repeated(sections)...)
	if len(problems) > 0 {
		return nil, problems
	}
	parsed, err := ini.LoadSources(options(), data)
	if err != nil {
		return nil, []Problem{{Message: err.Error()}}
	}
	return withValues(sections, parsed)
}

func options() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    noInheritance,
		SpaceBeforeInlineComment: true,
	}
}

func repeated(sections []Section) []Problem {
	var problems []Problem
	seen := map[string]int{}
	for _, section := range sections {
		if first, ok := seen[section.Name]; ok {
			message := fmt.Sprintf("section is repeated; first at line %d", first)
			problems = append(problems, Problem{Line: section.Line, Section: section.Name, Message: message})
			continue
		}
		seen[section.Name] = section.Line
		problems = append(problems, repeatedKeys(section)...)
	}
	return problems
}

func repeatedKeys(section Section) []Problem {
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

// withValues takes the values from the library and checks that it saw the same sections and keys.
func withValues(sections []Section, parsed *ini.File) (*File, []Problem) {
	var problems []Problem
	for i, section := range sections {
		source, err := parsed.GetSection(section.Name)
		if err != nil {
			problems = append(problems, Problem{Line: section.Line, Section: section.Name, Message: err.Error()})
			continue
		}
		for j, key := range section.Keys {
			if !source.HasKey(key.Name) {
				problems = append(problems, Problem{Line: key.Line, Section: section.Name, Key: key.Name, Message: "key cannot be read"})
				continue
			}
			value := source.Key(key.Name).Value()
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
