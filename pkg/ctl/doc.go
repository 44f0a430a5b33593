// Package ctl implements ferryctl, the operators' command-line client.
//
// Every command returns a Result, which is printed as text or as JSON. ExitCode maps failures to exit codes.
package ctl
