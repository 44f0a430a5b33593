// Package object holds the typed configuration objects that operators publish.
//
// Objects are written in INI, one section per object, and refer to one another by name.
// A set is valid only as a whole.
package object
