// Package settings reads the static settings of a daemon from an INI file into a tagged struct.
//
// The destination is a struct whose fields are section structs with the tag section.
// Fields of a section carry the tags key, default, doc, required, min and max.
// Field types are string, bool, signed and unsigned integers, float64, time.Duration, []string and Bytes.
package settings
