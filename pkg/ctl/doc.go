// Package ctl holds the operators' commands behind ferryctl.
//
// Every command returns a Result that prints as text or JSON; failures map to the exit codes in ExitCode.
package ctl
