// Package coordinator places models and adapters on the model runners.
//
// Every entry daemon runs a coordinator, but only the holder of the lease sends orders. The other daemons report their
// demand to it and receive the state of the runners in return.
package coordinator
