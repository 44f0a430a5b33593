// Package object defines the typed configuration objects that operators publish.
//
// Objects are written in INI, one section per object, and refer to one another by name, so that only a whole set can be
// validated.
package object
