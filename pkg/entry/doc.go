// Package entry is the library of the entry host daemon: callers' HTTP in, exec calls to agents out.
//
// One goroutine owns the control state and publishes an immutable Snapshot; traffic goroutines only read it.
package entry
