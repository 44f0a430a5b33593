package settings

import (
	"reflect"
)

// field is one key of the destination struct.
type field struct {
	section string
	key     string
	// defaultValue is the text of the default tag; hasDefault distinguishes an empty default from none.
	defaultValue string
	hasDefault   bool
	required     bool
	min          string
	max          string
	doc          string
	value        reflect.Value
}

// section is one section of the destination struct.
type section struct {
	name   string
	doc    string
	fields []field
}

// sectionsOf returns the sections of dst, which must be a pointer to a tagged struct.
func sectionsOf(dst any) []section {
	root := reflect.ValueOf(dst).Elem()
	var out []section
	for i := range root.NumField() {
		tag := root.Type().Field(i).Tag
		name := tag.Get("section")
		if name == "" {
			continue
		}
		out = append(out, section{name: name, doc: tag.Get("doc"), fields: fieldsOf(name, root.Field(i))})
	}
	return out
}

func fieldsOf(section string, v reflect.Value) []field {
	var out []field
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag
		if tag.Get("key") == "" {
			continue
		}
		f := field{section: section, key: tag.Get("key"), value: v.Field(i)}
		f.defaultValue, f.hasDefault = tag.Lookup("default")
		f.required = tag.Get("required") == "true"
		f.min = tag.Get("min")
		f.max = tag.Get("max")
		f.doc = tag.Get("doc")
		out = append(out, f)
	}
	return out
}

func sectionNames(sections []section) []string {
	names := make([]string, 0, len(sections))
	for _, s := range sections {
		names = append(names, s.name)
	}
	return names
}

func keyNames(s section) []string {
	names := make([]string, 0, len(s.fields))
	for _, f := range s.fields {
		names = append(names, f.key)
	}
	return names
}
