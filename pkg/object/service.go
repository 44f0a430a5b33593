package object

import "time"

// Service is a published plain service.
type Service struct {
	Name string
	// IdempotentMethods are the HTTP methods that may be repeated, in upper case.
	IdempotentMethods []string
	// Timeout bounds one call.
	Timeout time.Duration
}
