// Package failure defines the typed failures of the system.
//
// Every failure carries a code and the outcome of the request it belongs to.
// The package builds on zeebo/errs, so that causes and stacks stay available.
package failure

import (
	"errors"
	"time"

	"github.com/zeebo/errs"
)

// class groups all failures of the system for zeebo/errs.
var class = errs.Class("ferry")

// Failure is an error with a code and the outcome of the request.
type Failure struct {
	// Code names the kind of failure.
	Code Code
	// Outcome tells whether the request ran.
	Outcome Outcome
	// Message explains the failure to a person.
	Message string
	// RetryAfter is the earliest useful time for another try; 0 means no advice.
	RetryAfter time.Duration
	// Object names the configuration object concerned, as kind/name, if any.
	Object string

	cause error
}

// New returns a failure with a code, an outcome and a message.
func New(code Code, outcome Outcome, message string) *Failure {
	return &Failure{Code: code, Outcome: outcome, Message: message}
}

// Wrap returns a failure that keeps cause for errors.Is and errors.As. A nil cause gives a plain failure.
func Wrap(code Code, outcome Outcome, message string, cause error) *Failure {
	f := New(code, outcome, message)
	if cause != nil {
		f.cause = class.Wrap(cause)
	}
	return f
}

// WithRetryAfter returns a copy of the failure with advice on the next try.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	c := *f
	c.RetryAfter = d
	return &c
}

// WithObject returns a copy of the failure that names a configuration object.
func (f *Failure) WithObject(object string) *Failure {
	c := *f
	c.Object = object
	return &c
}

// Error returns code, message and cause.
func (f *Failure) Error() string {
	s := string(f.Code) + ": " + f.Message
	if f.cause != nil {
		s += ": " + f.cause.Error()
	}
	return s
}

// Unwrap returns the cause; nil without one.
func (f *Failure) Unwrap() error {
	return f.cause
}

// Is reports whether target is a failure with the same code.
func (f *Failure) Is(target error) bool {
	t, ok := target.(*Failure)
	return ok && t.Code == f.Code
}

// From returns the failure in the chain of err. An error without one becomes Internal with outcome Unknown.
func From(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return Wrap(Internal, Unknown, "unexpected error", err)
}

// HasCode reports whether the chain of err holds a failure with the code.
func HasCode(err error, code Code) bool {
	var f *Failure
	return errors.As(err, &f) && f.Code == code
}
