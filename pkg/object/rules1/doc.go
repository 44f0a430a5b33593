// Package rules1 holds version 1 of the acceptance rules for a set of configuration objects.
//
// The rules are frozen: every process must give the same verdict on every record of the log, whatever
// software it runs. A change of any verdict needs a new rules version in a new package. The package
// therefore depends on the standard library and on the messages alone, and a golden test guards it.
package rules1

// Version is the number that change sets carry for these rules.
const Version = 1
