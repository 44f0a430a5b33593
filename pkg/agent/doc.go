// Package agent implements the daemon that runs beside each backend server.
//
// One goroutine, Control, owns the control state in Core, a deterministic state machine that turns events into actions;
// Effects carries the actions out. Request goroutines read the immutable View and never wait for Control, except for
// adapters that must be loaded first.
package agent
