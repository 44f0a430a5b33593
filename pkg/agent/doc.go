// Package agent is the library of the process beside each backend server.
//
// One goroutine owns the Core, a deterministic function from events to actions; see Control.
// Traffic goroutines read the immutable View and never wait for control, but for adapters that must be loaded first.
package agent
