// Package settings reads the static settings of a daemon from an INI file into a tagged struct.
//
// Each field of that struct which has the tag section is itself a struct and holds one section of the file.
// The fields of a section have the tags key, default, doc, required, min and max.
// Field types are string, bool, signed and unsigned integers, float64, time.Duration, []string and Bytes.
package settings
