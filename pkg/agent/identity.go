package agent

import "time"

// Identity describes an agent and its runner. Most of it is announced in the AgentStart record.
type Identity struct {
	Runner        string
	Incarnation   string
	Address       string
	Region        string
	FailureDomain string
	// Service is the name of the service; empty for a model engine.
	Service string
	// MemoryBytes is the configured accelerator memory; 0 means the value in the engine's report.
	MemoryBytes    uint64
	Accelerators   uint32
	AdapterSlots   uint32
	HonoursFencing bool
}

// Limits are the limits and timeouts of the core.
type Limits struct {
	// StoreConcurrency is the number of model loads at the same time, over all runners.
	StoreConcurrency int
	// AdapterInFlight is the number of adapter loads at the same time, over all runners.
	AdapterInFlight int
	// WatchInterval is the time between two pings of a watched runner.
	WatchInterval time.Duration
	// SilenceTimeout is the time without a successful ping after which a watched runner counts as silent.
	SilenceTimeout time.Duration
	// ResendAfter is the time for which load orders may stay unsettled before a new fencing token voids them.
	ResendAfter time.Duration
	// RetryAfter is the pause after a failed order or append.
	RetryAfter time.Duration
	// LostAfter is the time for which reports must lack a ready model before it counts as lost, because reports may be
	// out of date.
	LostAfter time.Duration
}

// Values of the limits that are not settings.
const (
	defaultResendAfter = 15 * time.Second
	defaultRetryAfter  = time.Second
	defaultLostAfter   = 2 * time.Second
)

// identityOf returns the identity that the settings describe.
func identityOf(s *Settings, incarnation string) Identity {
	return Identity{
		Runner:         s.Host.Name,
		Incarnation:    incarnation,
		Address:        s.Listen.advertised(),
		Region:         s.Host.Region,
		FailureDomain:  s.Host.FailureDomain,
		Service:        s.Backend.Service,
		MemoryBytes:    uint64(s.Backend.MemoryBytes),
		Accelerators:   s.Backend.Accelerators,
		AdapterSlots:   s.Backend.AdapterSlots,
		HonoursFencing: s.Backend.HonoursFencing,
	}
}

// limitsOf returns the limits that the settings describe.
func limitsOf(s *Settings) Limits {
	return Limits{
		StoreConcurrency: s.Backend.StoreConcurrency,
		AdapterInFlight:  s.Backend.AdapterInFlight,
		WatchInterval:    s.Watch.Interval,
		SilenceTimeout:   s.Watch.SilenceTimeout,
		ResendAfter:      defaultResendAfter,
		RetryAfter:       defaultRetryAfter,
		LostAfter:        defaultLostAfter,
	}
}
