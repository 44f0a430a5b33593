// Package failure defines the typed errors of the system.
//
// Every failure carries a code and the outcome of the request it belongs to.
// Causes are wrapped with zeebo/errs, which keeps the error chain and a stack trace.
package failure

import (
	"errors"
	"time"

	"github.com/zeebo/errs"
)

// class is the zeebo/errs class of all failures of the system.
var class = errs.Class("ferry")

// Failure is an error with a code and the outcome of the request.
type Failure struct {
	Code    Code
	Outcome Outcome
	// Message is a human-readable explanation.
	Message string
	// RetryAfter is the least time to wait before a retry is useful; 0 means no advice.
	RetryAfter time.Duration
	// Object is the kind/name of the configuration object that the failure concerns, or empty.
	Object string

	cause error
}

// New returns a failure with a code, an outcome and a message.
func New(code Code, outcome Outcome, message string) *Failure {
	return &Failure{Code: code, Outcome: outcome, Message: message}
}

// Wrap returns a failure that wraps cause, so that errors.Is and errors.As find it. With a nil cause it is the same as
// New.
func Wrap(code Code, outcome Outcome, message string, cause error) *Failure {
	f := New(code, outcome, message)
	if cause != nil {
		f.cause = class.Wrap(cause)
	}
	return f
}

// WithRetryAfter returns a copy of the failure that advises the caller to wait d before a retry.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	c := *f
	c.RetryAfter = d
	return &c
}

// WithObject returns a copy of the failure that names a configuration object as kind/name.
func (f *Failure) WithObject(object string) *Failure {
	c := *f
	c.Object = object
	return &c
}

// Error returns the code, the message and the cause, separated by colons.
func (f *Failure) Error() string {
	s := string(f.Code) + ": " + f.Message
	if f.cause != nil {
		s += ": " + f.cause.Error()
	}
	return s
}

// Unwrap returns the cause, or nil if there is none.
func (f *Failure) Unwrap() error {
	return f.cause
}

// Is reports whether target is a failure with the same code.
func (f *Failure) Is(target error) bool {
	t, ok := target.(*Failure)
	return ok && t.Code == f.Code
}

// From returns the first failure in the chain of err. Any other error is wrapped in a failure with code Internal and
// outcome Unknown.
func From(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return Wrap(Internal, Unknown, "unexpected error", err)
}

// HasCode reports whether the first failure in the chain of err has the code.
func HasCode(err error, code Code) bool {
	var f *Failure
	return errors.As(err, &f) && f.Code == code
}
