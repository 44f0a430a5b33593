package gateway

import "trefoilferry.example/ferry/pkg/failure"

// errTakenOver is the cancellation cause of an attempt whose request another server takes over.
var errTakenOver error = failure.New(failure.Truncated, failure.Unknown, "another server takes the request over")
