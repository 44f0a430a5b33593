package bench

import (
	"trefoilferry.example/ferry/pkg/engine"
	standin "trefoilferry.example/ferry/pkg/standin/engine"
)

// Moves counts loads and unloads of models and adapters by engines.
type Moves struct {
	Loads        int `json:"loads"`
	Unloads      int `json:"unloads"`
	AdapterLoads int `json:"adapter_loads"`
	// AdapterUnloads counts unload orders, because engines do not count the unloads themselves.
	AdapterUnloads int `json:"adapter_unloads"`
}

// Total returns the sum of all counts.
func (m Moves) Total() int { return m.Loads + m.Unloads + m.AdapterLoads + m.AdapterUnloads }

func (m Moves) plus(o Moves) Moves {
	return Moves{m.Loads + o.Loads, m.Unloads + o.Unloads, m.AdapterLoads + o.AdapterLoads, m.AdapterUnloads + o.AdapterUnloads}
}

func (m Moves) minus(o Moves) Moves {
	return Moves{m.Loads - o.Loads, m.Unloads - o.Unloads, m.AdapterLoads - o.AdapterLoads, m.AdapterUnloads - o.AdapterUnloads}
}

func movesOf(c *standin.Counters) Moves {
	return Moves{Loads: c.Loads, Unloads: c.Unloads, AdapterLoads: c.AdapterLoads, AdapterUnloads: c.Orders[engine.UnloadAdapter]}
}
