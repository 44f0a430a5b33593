package gateway

import "trefoilferry.example/ferry/pkg/failure"

// errStalled is the cause of the cancellation of an attempt whose answer does not go on.
var errStalled error = failure.New(failure.Truncated, failure.Unknown, "the answer stalled")
