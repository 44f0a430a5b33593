package entry

import (
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/routing"
)

// Snapshot is the state that request goroutines read. It is immutable.
type Snapshot struct {
	Config ConfigView
	// ConfigOffset is the offset of the last configuration record in Config.
	ConfigOffset uint64
	Routes       RouteTable
	// PlacementOffset is the offset of the last placement record in Routes.
	PlacementOffset uint64
	// Suspects holds the runners to avoid, and until when.
	Suspects map[string]time.Time
	Hosts    []infra.Host
	// Leaving holds the runners that are leaving according to the host list.
	Leaving map[string]bool
	// CaughtUp is set once configuration and routes have both been read to the end of their streams.
	CaughtUp bool
	// Draining is set once the daemon is shutting down.
	Draining bool
}

// Ready reports whether the daemon should receive callers' requests.
func (s *Snapshot) Ready() bool { return s.CaughtUp && !s.Draining }

// Holders returns the runners with a ready copy of the model; Leaving is set for those that are leaving or drained.
func (s *Snapshot) Holders(model string) []routing.Candidate {
	return s.withLeaving(s.Routes.Holders(model))
}

// ServiceRunners returns the runners of the service; Leaving is set for those that are leaving or drained.
func (s *Snapshot) ServiceRunners(service string) []routing.Candidate {
	return s.withLeaving(s.Routes.ServiceRunners(service))
}

// withLeaving returns copies of the candidates with Leaving set for those that are leaving or drained.
func (s *Snapshot) withLeaving(candidates []routing.Candidate) []routing.Candidate {
	out := make([]routing.Candidate, 0, len(candidates))
	for _, c := range candidates {
		c.Draining = c.Draining || s.Leaving[c.Runner] || s.Config.Drained(c.Runner)
		out = append(out, c)
	}
	return out
}

// Snapshots holds the current snapshot. It is safe for concurrent use.
type Snapshots struct {
	current atomic.Pointer[Snapshot]
}

// NewSnapshots returns Snapshots with an empty snapshot that is not ready.
func NewSnapshots() *Snapshots {
	s := &Snapshots{}
	s.current.Store(&Snapshot{Config: emptyConfig{}, Routes: emptyRoutes{}})
	return s
}

// Load returns the current snapshot.
func (s *Snapshots) Load() *Snapshot { return s.current.Load() }

// Store publishes a snapshot.
func (s *Snapshots) Store(snapshot *Snapshot) { s.current.Store(snapshot) }
