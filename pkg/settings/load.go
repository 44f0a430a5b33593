package settings

import (
	"os"
	"reflect"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/inifile"
)

// Load sets dst, a pointer to a tagged struct, to the defaults and then to the values of the file at path.
// With an empty path it sets only the defaults. The error is a failure with code SettingsInvalid; if the file has errors,
// the failure wraps Problems with all of them.
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

// Parse is like Load for the content of a file. name is the file name for problems.
func Parse(name string, data []byte, dst any) error {
	l := &loader{file: name, sections: sectionsOf(dst), lines: map[keyPath]int{}}
	l.setDefaults()
	file, problems := inifile.Parse(data)
	for _, p := range problems {
		l.addProblem(p.Line, p.Section, p.Key, p.Message)
	}
	if file != nil {
		l.setValues(file)
	}
	l.checkFields()
	if checker, ok := dst.(Checker); ok && len(l.problems) == 0 {
		l.addCheckProblems(checker.Check())
	}
	return problemsError(l.problems)
}

// keyPath identifies a section, or one of its keys.
type keyPath struct {
	section string
	key     string
}

type loader struct {
	file     string
	sections []section
	// lines has the line numbers of the sections and keys in the file.
	lines    map[keyPath]int
	problems []Problem
	// invalid has the keys whose value cannot be parsed; further checks skip them.
	invalid map[keyPath]bool
}

func (l *loader) addProblem(line int, section, key, message string) {
	l.problems = append(l.problems, Problem{File: l.file, Line: line, Section: section, Key: key, Message: message})
}

func (l *loader) setDefaults() {
	l.invalid = map[keyPath]bool{}
	for _, s := range l.sections {
		for _, f := range s.fields {
			f.value.SetZero()
			if !f.hasDefault || f.defaultValue == "" {
				continue
			}
			if message := parse(f.value, f.defaultValue); message != "" {
				l.addProblem(0, f.section, f.key, "default: "+message)
			}
		}
	}
}

func (l *loader) setValues(file *inifile.File) {
	for _, s := range file.Sections {
		section, ok := l.findSection(s.Name)
		if !ok {
			l.addProblem(s.Line, s.Name, "", "unknown section"+inifile.Suggest(s.Name, sectionNames(l.sections)))
			continue
		}
		l.lines[keyPath{section: s.Name}] = s.Line
		for _, k := range s.Keys {
			l.setValue(section, k)
		}
	}
}

func (l *loader) findSection(name string) (section, bool) {
	for _, s := range l.sections {
		if s.name == name {
			return s, true
		}
	}
	return section{}, false
}

func (l *loader) setValue(s section, k inifile.Key) {
	path := keyPath{section: s.name, key: k.Name}
	l.lines[path] = k.Line
	for _, f := range s.fields {
		if f.key != k.Name {
			continue
		}
		if message := parse(f.value, k.Value); message != "" {
			l.invalid[path] = true
			l.addProblem(k.Line, s.name, k.Name, message)
		}
		return
	}
	l.addProblem(k.Line, s.name, k.Name, "unknown key"+inifile.Suggest(k.Name, keyNames(s)))
}

func (l *loader) checkFields() {
	for _, s := range l.sections {
		for _, f := range s.fields {
			l.checkField(f)
		}
	}
}

func (l *loader) checkField(f field) {
	path := keyPath{section: f.section, key: f.key}
	if l.invalid[path] {
		return
	}
	line, set := l.lines[path]
	if f.required && (!set && !f.hasDefault || f.value.Kind() == reflect.String && f.value.Len() == 0) {
		l.addProblem(line, f.section, f.key, "required key is missing or empty")
		return
	}
	if f.min != "" && compare(f.value, bound(f, f.min)) < 0 {
		l.addProblem(line, f.section, f.key, format(f.value)+" is below the minimum "+f.min)
	}
	if f.max != "" && compare(f.value, bound(f, f.max)) > 0 {
		l.addProblem(line, f.section, f.key, format(f.value)+" is above the maximum "+f.max)
	}
}

// bound parses a min or max tag in the type of the field. An invalid tag reads as zero.
func bound(f field, text string) reflect.Value {
	v := reflect.New(f.value.Type()).Elem()
	parse(v, text)
	return v
}

func (l *loader) addCheckProblems(problems []Problem) {
	for _, p := range problems {
		line, ok := l.lines[keyPath{section: p.Section, key: p.Key}]
		if !ok {
			line = l.lines[keyPath{section: p.Section}]
		}
		l.addProblem(line, p.Section, p.Key, p.Message)
	}
}
