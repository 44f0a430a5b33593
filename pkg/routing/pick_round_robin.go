package routing

import "sync/atomic"

// RoundRobinPicker picks the candidates in turn. It is safe for concurrent use.
type RoundRobinPicker struct {
	turn atomic.Uint64
}

// Pick implements Picker.
func (p *RoundRobinPicker) Pick(_ *Query, scored []Scored) Candidate {
	turn := p.turn.Add(1) - 1
	return scored[turn%uint64(len(scored))].Candidate
}
