package gateway

import "trefoilferry.example/ferry/pkg/failure"

// errStalled is the cancellation cause of an attempt whose response did not arrive or continue in time.
var errStalled error = failure.New(failure.Truncated, failure.Unknown, "the response stalled")
