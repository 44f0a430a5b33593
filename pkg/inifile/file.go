package inifile

// Key is one key of a section.
type Key struct {
	Name  string
	Value string
	// Line counts from 1.
	Line int
}

// Section is one section in file order.
type Section struct {
	// Name is the text between the brackets.
	Name string
	// Line counts from 1.
	Line int
	Keys []Key
}

// Problem is a line that cannot be read.
type Problem struct {
	// Line counts from 1; 0 concerns the whole file.
	Line    int
	Section string
	Key     string
	Message string
}

// File is a parsed INI file.
type File struct {
	Sections []Section
}
