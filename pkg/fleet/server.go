package fleet

import "slices"

// Server is one incarnation of a backend server as it describes itself.
type Server struct {
	ID      string
	Service string
	// Address is the IP address and port.
	Address string
	// FailureDomain is the failure domain that the server reports.
	FailureDomain string
	// BornMillis is the Unix time of the start of this incarnation in milliseconds.
	BornMillis int64
	// Sequence grows with each report of one incarnation.
	Sequence int64
	Slots    int
	// Draining servers finish their work and take no more.
	Draining bool
	// Models are the resident models with their resident adapters.
	Models []HeldModel
	// OnDisk and InMemory name the models of which the server keeps copies outside the accelerator.
	OnDisk   []string
	InMemory []string
}

// before reports whether the report is older than another one of the same id.
func (s *Server) before(o *Server) bool {
	return s.BornMillis < o.BornMillis || (s.BornMillis == o.BornMillis && s.Sequence < o.Sequence)
}

// sameAs reports whether two reports differ in nothing but their sequence and the copies of weights that are kept.
func (s *Server) sameAs(o *Server) bool {
	return s.Service == o.Service && s.Address == o.Address && s.FailureDomain == o.FailureDomain &&
		s.BornMillis == o.BornMillis && s.Slots == o.Slots && s.Draining == o.Draining &&
		slices.EqualFunc(s.Models, o.Models, HeldModel.equal)
}
