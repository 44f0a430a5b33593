package inifile

// Key is one key of a section.
type Key struct {
	Name  string
	Value string
	// Line counts from 1.
	Line int
}

// Section is one section with its keys in file order.
type Section struct {
	// Name is the text between the brackets.
	Name string
	// Line counts from 1.
	Line int
	Keys []Key
}

// Problem is a syntax error or a duplicate section or key.
type Problem struct {
	// Line counts from 1; 0 means the whole file.
	Line    int
	Section string
	Key     string
	Message string
}

// File is a parsed INI file with its sections in file order.
type File struct {
	Sections []Section
}
