package routing

import (
	"math/rand/v2"
	"time"
)

// Query is what routing knows about a request.
type Query struct {
	// Target is the name of the model, adapter or service.
	Target string
	// Adapter is empty for requests to the model itself.
	Adapter string
	// PrefixHash is the hash of the leading part of the prompt.
	PrefixHash uint64
	// Key is the idempotency key of a service call; empty without one.
	Key string
	// Region of the entry host.
	Region string
	// Tried names the runners that already failed this request.
	Tried map[string]bool
	// Suspects names the runners to avoid and until when.
	Suspects map[string]time.Time
	Now      time.Time
	// Rand is the seeded random source of the request.
	Rand *rand.Rand
}
