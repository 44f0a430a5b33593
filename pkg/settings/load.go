package settings

import (
	"os"
	"reflect"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/inifile"
)

// Load fills dst, a pointer to a tagged struct, with defaults and the values of the file at path.
// An empty path gives the defaults alone. The failure has code SettingsInvalid, and its chain
// holds Problems with all faults of the file.
func Load(path string, dst any) error {
	var data []byte
	if path != "" {
		var err error
		data, err = os.ReadFile(path)
		if err != nil {
			return failure.Wrap(failure.SettingsInvalid, failure.NotRun, "settings file cannot be read", err)
		}
	}
	return Parse(path, data, dst)
}

// Parse is Load for a file that is already read; name stands for it in problems.
func Parse(name string, data []byte, dst any) error {
	l := &loader{file: name, sections: describe(dst), lines: map[place]int{}}
	l.setDefaults()
	parsed, problems := inifile.Parse(data)
	for _, p := range problems {
		l.add(p.Line, p.Section, p.Key, p.Message)
	}
	if parsed != nil {
		l.setValues(parsed)
	}
	l.checkFields()
	if checker, ok := dst.(Checker); ok && len(l.problems) == 0 {
		l.takeOver(checker.Check())
	}
	return refuse(l.problems)
}

// place names a section or a key of it.
type place struct {
	section string
	key     string
}

type loader struct {
	file     string
	sections []section
	// lines of the sections and keys that the file sets.
	lines    map[place]int
	problems []Problem
	// faulty keys are left out of the later checks.
	faulty map[place]bool
}

func (l *loader) add(line int, section, key, message string) {
	l.problems = append(l.problems, Problem{File: l.file, Line: line, Section: section, Key: key, Message: message})
}

func (l *loader) setDefaults() {
	l.faulty = map[place]bool{}
	for _, s := range l.sections {
		for _, f := range s.fields {
			f.value.SetZero()
			if !f.hasDefault || f.fallback == "" {
				continue
			}
			if message := parse(f.value, f.fallback); message != "" {
				l.add(0, f.section, f.key, "default: "+message)
			}
		}
	}
}

func (l *loader) setValues(parsed *inifile.File) {
	for _, s := range parsed.Sections {
		known, ok := l.section(s.Name)
		if !ok {
			l.add(s.Line, s.Name, "", "unknown section"+inifile.Suggest(s.Name, sectionNames(l.sections)))
			continue
		}
		l.lines[place{section: s.Name}] = s.Line
		for _, k := range s.Keys {
			l.setValue(known, k)
		}
	}
}

func (l *loader) section(name string) (section, bool) {
	for _, s := range l.sections {
		if s.name == name {
			return s, true
		}
	}
	return section{}, false
}

func (l *loader) setValue(s section, k inifile.Key) {
	at := place{section: s.name, key: k.Name}
	l.lines[at] = k.Line
	for _, f := range s.fields {
		if f.key != k.Name {
			continue
		}
		if message := parse(f.value, k.Value); message != "" {
			l.faulty[at] = true
			l.add(k.Line, s.name, k.Name, message)
		}
		return
	}
	l.add(k.Line, s.name, k.Name, "unknown key"+inifile.Suggest(k.Name, keyNames(s)))
}

func (l *loader) checkFields() {
	for _, s := range l.sections {
		for _, f := range s.fields {
			l.checkField(f)
		}
	}
}

func (l *loader) checkField(f field) {
	at := place{section: f.section, key: f.key}
	if l.faulty[at] {
		return
	}
	line, set := l.lines[at]
	if f.required && (!set && !f.hasDefault || f.value.Kind() == reflect.String && f.value.Len() == 0) {
		l.add(line, f.section, f.key, "required key is missing or empty")
		return
	}
	if f.min != "" && compare(f.value, bound(f, f.min)) < 0 {
		l.add(line, f.section, f.key, format(f.value)+" is below the minimum "+f.min)
	}
	if f.max != "" && compare(f.value, bound(f, f.max)) > 0 {
		l.add(line, f.section, f.key, format(f.value)+" is above the maximum "+f.max)
	}
}

// bound returns a limit in the type of the field; a faulty limit counts as the zero value.
func bound(f field, text string) reflect.Value {
	v := reflect.New(f.value.Type()).Elem()
	parse(v, text)
	return v
}

func (l *loader) takeOver(problems []Problem) {
	for _, p := range problems {
		line, ok := l.lines[place{section: p.Section, key: p.Key}]
		if !ok {
			line = l.lines[place{section: p.Section}]
		}
		l.add(line, p.Section, p.Key, p.Message)
	}
}
