package queue

import "time"

// Config holds the limits of a queue that come from the agent's settings.
type Config struct {
	// MaxQueued bounds the waiting requests.
	MaxQueued int
	// Patience is the assumed time to the first token, counted from arrival, of requests without a target.
	Patience time.Duration
	// PriorityStep is the head start that one unit of priority gives in the order of due times.
	PriorityStep time.Duration
	// MaxPriority bounds the priority that counts, so that the head start is bounded and every request's turn comes.
	MaxPriority int32
	// LongPrefill is the prefill time from which a request counts as long.
	LongPrefill time.Duration
	// LongShare is the largest part of the slots that long prefills may hold; one long prefill is always permitted.
	LongShare float64
	// LateShare is the part of the time that prefills may take which miss their target in any case. They cannot
	// attain it themselves, but each holds up all requests of its batch. 1 does not bound them; 0 means 1.
	LateShare float64
}

// Default limits.
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
		MaxQueued:    defaultMaxQueued,
		Patience:     defaultPatience,
		PriorityStep: defaultPriorityStep,
		MaxPriority:  defaultMaxPriority,
		LongPrefill:  defaultLongPrefill,
		LongShare:    defaultLongShare,
	}
}
