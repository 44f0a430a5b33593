package agent

import "time"

// Identity is what an agent announces about its runner.
type Identity struct {
	Runner        string
	Incarnation   string
	Address       string
	Region        string
	FailureDomain string
	// Service is the name of the plain service; empty for a model engine.
	Service string
	// MemoryBytes is the accelerator memory; 0 takes the engine's report.
	MemoryBytes    uint64
	Accelerators   uint32
	AdapterSlots   uint32
	HonoursFencing bool
}

// Limits bound what the core does.
type Limits struct {
	// StoreConcurrency is the number of model loads at the same time over all runners.
	StoreConcurrency int
	// AdapterInFlight is the number of adapter loads at the same time over all runners.
	AdapterInFlight int
	WatchInterval   time.Duration
	Silence         time.Duration
	// ResendAfter is the time after which an order without a visible result is sent again.
	ResendAfter time.Duration
	// RetryAfter is the pause after a failed order or append.
	RetryAfter time.Duration
	// LostAfter is the time for which the report must lack a ready model before it counts as lost, since reports lag.
	LostAfter time.Duration
}

// Defaults of limits that are not settings.
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
		Silence:          s.Watch.Silence,
		ResendAfter:      defaultResendAfter,
		RetryAfter:       defaultRetryAfter,
		LostAfter:        defaultLostAfter,
	}
}
