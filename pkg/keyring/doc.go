// Package keyring decides which callers' keys are accepted, and for how long what a daemon knows of them may be relied on.
// Decisions read no clock and no network.
package keyring
