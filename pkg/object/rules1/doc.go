// Package rules1 is version 1 of the acceptance rules for a set of configuration objects.
//
// The rules are frozen: every process must accept or refuse each record of the log alike, whichever
// release it runs. A change that alters any verdict needs a new rules version in a new package. The package
// therefore depends only on the standard library and the protobuf messages, and a golden test guards it.
package rules1

// Version is the rules version recorded in change sets that were accepted by these rules.
const Version = 1
