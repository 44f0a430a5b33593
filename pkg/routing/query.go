package routing

import (
	"math/rand/v2"
	"time"
)

// Query is the input of a routing decision for one request.
type Query struct {
	// Target is the name of the model, adapter or service.
	Target string
	// Adapter is empty for requests to the model itself.
	Adapter string
	// PrefixHash is the hash of the prompt's prefix, by which requests share a prefix cache.
	PrefixHash uint64
	// Key is the idempotency key of a service call; empty if it has none.
	Key string
	// Region is that of the entry host.
	Region string
	// Tried holds the runners that have already failed this request.
	Tried map[string]bool
	// Suspects holds until when each suspected runner is avoided.
	Suspects map[string]time.Time
	Now      time.Time
	// Rand is the random source of the request.
	Rand *rand.Rand
}
