package object

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/inifile"
	"trefoilferry.example/ferry/pkg/object/rules1"
)

// keyPath identifies an object, or one of its keys.
type keyPath struct {
	object string
	key    string
}

// position is a line in a file, counted from 1.
type position struct {
	file string
	line int
}

// Source holds objects read from files, with the position of every object and key.
type Source struct {
	// Objects are in file order.
	Objects   []*ferrypb.Object
	positions map[keyPath]position
}

// NewSource returns an empty source.
func NewSource() *Source {
	return &Source{positions: map[keyPath]position{}}
}

// ReadFiles reads objects from files. It returns the objects that were read and all syntax errors; it does not validate
// the objects as a set.
func ReadFiles(paths ...string) (*Source, []Problem) {
	s := NewSource()
	var problems []Problem
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			problems = append(problems, Problem{File: path, Message: err.Error()})
			continue
		}
		problems = append(problems, s.Add(path, data)...)
	}
	return s, problems
}

// Add adds the objects in data and returns all syntax errors. name is the file name for problems.
func (s *Source) Add(name string, data []byte) []Problem {
	file, faults := inifile.Parse(data)
	var problems []Problem
	for _, f := range faults {
		problems = append(problems, Problem{File: name, Line: f.Line, Object: f.Section, Key: f.Key, Message: f.Message})
	}
	if file == nil {
		return problems
	}
	for _, section := range file.Sections {
		if p, ok := s.addSection(name, section); !ok {
			problems = append(problems, p)
		}
	}
	return problems
}

func (s *Source) addSection(file string, section inifile.Section) (Problem, bool) {
	problem := Problem{File: file, Line: section.Line, Object: section.Name}
	kind, name, ok := splitHeader(section.Name)
	if !ok {
		problem.Message = `section needs the form [kind "name"]`
		return problem, false
	}
	if !slices.Contains(KindNames(), kind) {
		problem.Message = rules1.UnknownKind + inifile.Suggest(kind, KindNames())
		return problem, false
	}
	o := &ferrypb.Object{Kind: kind, Name: name, Values: map[string]string{}}
	if first, ok := s.positions[keyPath{object: QualifiedName(o)}]; ok {
		problem.Message = fmt.Sprintf("object is repeated; first at %s:%d", first.file, first.line)
		return problem, false
	}
	s.positions[keyPath{object: QualifiedName(o)}] = position{file, section.Line}
	for _, key := range section.Keys {
		o.Values[key.Name] = key.Value
		s.positions[keyPath{QualifiedName(o), key.Name}] = position{file, key.Line}
	}
	s.Objects = append(s.Objects, o)
	return Problem{}, true
}

func splitHeader(header string) (kind, name string, ok bool) {
	kind, name, ok = strings.Cut(header, " ")
	name = strings.TrimSpace(name)
	if !ok || len(name) < 3 || name[0] != '"' || name[len(name)-1] != '"' {
		return "", "", false
	}
	return kind, name[1 : len(name)-1], true
}

// Locate returns the problems with the file and line of their key, or of their object if the key is not in a file.
func (s *Source) Locate(problems []Problem) []Problem {
	out := slices.Clone(problems)
	for i, p := range out {
		position, ok := s.positions[keyPath{p.Object, p.Key}]
		if !ok {
			position = s.positions[keyPath{object: p.Object}]
		}
		out[i].File = position.file
		out[i].Line = position.line
	}
	return out
}

// QualifiedName returns the kind/name of an object.
func QualifiedName(o *ferrypb.Object) string {
	return o.Kind + "/" + o.Name
}

// AddEmpty adds an object without values or file position, such as a drain.
func (s *Source) AddEmpty(kind, name string) {
	s.Objects = append(s.Objects, &ferrypb.Object{Kind: kind, Name: name})
}
