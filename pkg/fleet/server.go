package fleet

import "slices"

// Server is the state that one incarnation of a backend server reports about itself.
type Server struct {
	ID      string
	Service string
	// Address is the server's IP address and port.
	Address string
	// FailureDomain is the name of the server's failure domain.
	FailureDomain string
	// StartMillis is the Unix time in milliseconds at which this incarnation started.
	StartMillis int64
	// Sequence increases with every report of one incarnation.
	Sequence int64
	Slots    int
	// Draining is set when the server finishes its current work and accepts no new requests.
	Draining bool
	// Models are the resident models with their resident adapters.
	Models []ResidentModel
	// OnDisk and InMemory name the models whose weights the server has cached outside the accelerator.
	OnDisk   []string
	InMemory []string
}

// olderThan reports whether the report precedes o, which has the same id.
func (s *Server) olderThan(o *Server) bool {
	return s.StartMillis < o.StartMillis || (s.StartMillis == o.StartMillis && s.Sequence < o.Sequence)
}

// equivalent reports whether two reports differ only in their sequence and in the weights cached on disk or in memory.
func (s *Server) equivalent(o *Server) bool {
	return s.Service == o.Service && s.Address == o.Address && s.FailureDomain == o.FailureDomain &&
		s.StartMillis == o.StartMillis && s.Slots == o.Slots && s.Draining == o.Draining &&
		slices.EqualFunc(s.Models, o.Models, ResidentModel.equal)
}
