// Package inifile parses INI files and keeps the line number of every section and key for error messages.
//
// Values are parsed by gopkg.in/ini.v1 with interpolation, continuation lines and inheritance between
// sections turned off, so that a value depends only on its own line.
package inifile
