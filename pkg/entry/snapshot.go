package entry

import (
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/routing"
)

// Snapshot is the state that traffic goroutines read. It is immutable.
type Snapshot struct {
	Config ConfigView
	// ConfigOffset is the log offset that the configuration is up to date with.
	ConfigOffset uint64
	Routes       RouteTable
	// PlacementOffset is the log offset that the routes are up to date with.
	PlacementOffset uint64
	// Suspects names the runners to avoid and until when.
	Suspects map[string]time.Time
	Hosts    []infra.Host
	// Leaving names the runners that the host list reports as leaving.
	Leaving map[string]bool
	// CaughtUp is set once configuration and routes have been read up to the end.
	CaughtUp bool
	// Draining is set once the daemon is to stop.
	Draining bool
}

// Ready reports whether the daemon shall get callers' requests.
func (s *Snapshot) Ready() bool { return s.CaughtUp && !s.Draining }

// Holders returns the model's holders with their leaving state.
func (s *Snapshot) Holders(model string) []routing.Candidate {
	return s.marked(s.Routes.Holders(model))
}

// Providers returns the service's runners with their leaving state.
func (s *Snapshot) Providers(service string) []routing.Candidate {
	return s.marked(s.Routes.Providers(service))
}

func (s *Snapshot) marked(candidates []routing.Candidate) []routing.Candidate {
	out := make([]routing.Candidate, 0, len(candidates))
	for _, c := range candidates {
		c.Leaving = c.Leaving || s.Leaving[c.Runner] || s.Config.Drained(c.Runner)
		out = append(out, c)
	}
	return out
}

// Snapshots holds the current snapshot.
type Snapshots struct {
	current atomic.Pointer[Snapshot]
}

// NewSnapshots returns a holder with an empty snapshot that is not ready.
func NewSnapshots() *Snapshots {
	s := &Snapshots{}
	s.current.Store(&Snapshot{Config: emptyConfig{}, Routes: emptyRoutes{}})
	return s
}

// Load returns the current snapshot.
func (s *Snapshots) Load() *Snapshot { return s.current.Load() }

// Store publishes a snapshot.
func (s *Snapshots) Store(snapshot *Snapshot) { s.current.Store(snapshot) }
