package queue

import "time"

// Config holds the limits of a queue, from the agent's settings.
type Config struct {
	// MaxQueued bounds the waiting requests.
	MaxQueued int
	// DefaultTarget is the target for the time from arrival to the first token of requests that have no target.
	DefaultTarget time.Duration
	// PriorityStep is how much earlier one unit of priority makes a request due in the order of the queue.
	PriorityStep time.Duration
	// MaxPriority bounds the effective priority, in both directions, so that no request starves.
	MaxPriority int32
	// LongPrefillTime is the shortest duration of a prefill that counts as long.
	LongPrefillTime time.Duration
	// LongPrefillShare is the largest share of the slots that long prefills may hold; one long prefill is always
	// permitted.
	LongPrefillShare float64
	// LatePrefillShare is the share of the time that late prefills may take. A late prefill takes longer than its
	// request's target even on an idle engine. It misses its target in any case, but delays all requests of its batch. 1
	// sets no bound; 0 means 1.
	LatePrefillShare float64
}

// Defaults of Config.
const (
	defaultMaxQueued    = 256
	defaultPatience     = 10 * time.Second
	defaultPriorityStep = 100 * time.Millisecond
	defaultMaxPriority  = 10
	defaultLongPrefill  = 250 * time.Millisecond
	defaultLongShare    = 0.25
)

// DefaultConfig returns the default limits.
func DefaultConfig() Config {
	return Config{
		MaxQueued:        defaultMaxQueued,
		DefaultTarget:    defaultPatience,
		PriorityStep:     defaultPriorityStep,
		MaxPriority:      defaultMaxPriority,
		LongPrefillTime:  defaultLongPrefill,
		LongPrefillShare: defaultLongShare,
	}
}
