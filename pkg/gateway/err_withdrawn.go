package gateway

import "trefoilferry.example/ferry/pkg/failure"

// errWithdrawn is the cancellation cause of an attempt whose request another server has kept.
var errWithdrawn error = failure.New(failure.ClientCancelled, failure.Unknown, "the request stays at another server")
