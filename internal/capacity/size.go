package capacity

// Size is the size of a system as counts of its parts.
type Size struct {
	Entries  int `json:"entries"`
	Runners  int `json:"runners"`
	Domains  int `json:"domains"`
	Models   int `json:"models"`
	Adapters int `json:"adapters"`
	// Copies is the number of ready copies of each model.
	Copies int `json:"copies"`
}

// TargetSize returns the size that the system is designed for.
func TargetSize() Size {
	return Size{Entries: 350, Runners: 760, Domains: 7, Models: 640, Adapters: 2000, Copies: 2}
}

// Scaled returns the size with the numbers of hosts, models and adapters multiplied by factor, each at least 2. Failure
// domains and copies per model stay.
func (s Size) Scaled(factor float64) Size {
	scale := func(n int) int { return max(2, int(float64(n)*factor+0.5)) }
	return Size{
		Entries: scale(s.Entries), Runners: scale(s.Runners), Domains: s.Domains,
		Models: scale(s.Models), Adapters: scale(s.Adapters), Copies: s.Copies,
	}
}

// Daemons returns the number of entry hosts and agents.
func (s Size) Daemons() int { return s.Entries + s.Runners }
