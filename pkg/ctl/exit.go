package ctl

import "trefoilferry.example/ferry/pkg/failure"

// Exit codes of ferryctl.
const (
	ExitSuccess     = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitUnavailable = 5
)

// ExitCode returns the exit code for the error of a command; nil means success.
func ExitCode(err error) int {
	if err == nil {
		return ExitSuccess
	}
	switch failure.From(err).Code {
	case failure.BadRequest:
		return ExitUsage
	case failure.ObjectInvalid, failure.PublishInvalid:
		return ExitInvalid
	case failure.PublishConflict:
		return ExitConflict
	case failure.LogUnavailable, failure.PublishUnknown:
		return ExitUnavailable
	default:
		return ExitFailure
	}
}

// usageError returns the failure of an invalid command line.
func usageError(message string) error {
	return failure.New(failure.BadRequest, failure.NotRun, message)
}
