// Package inifile reads INI files and keeps the line of every section and key for error messages.
//
// Values come from gopkg.in/ini.v1. Interpolation, continuation lines and inheritance between
// sections are off, so that a value is what its line says.
package inifile
