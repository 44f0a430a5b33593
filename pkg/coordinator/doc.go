// Package coordinator places models and adapters on the model runners.
//
// Every entry daemon runs one; only the holder of the lease gives orders. The others report demand to it and
// receive what it knows about the runners.
package coordinator
