package object

import "time"

// Service is a published service that is not a language model, such as a booking service.
type Service struct {
	Name string
	// IdempotentMethods are the HTTP methods that may be retried, in upper case.
	IdempotentMethods []string
	// Timeout is the time limit of one call.
	Timeout time.Duration
}
