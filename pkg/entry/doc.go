// Package entry implements the daemon of entry hosts. It serves an HTTP API similar to OpenAI's and calls of plain
// services, and executes the requests through exec calls to the agents of runners.
//
// One goroutine (ControlLoop) owns the control state and publishes it as an immutable Snapshot; the goroutines that serve
// requests only read snapshots.
package entry
