package integration

import (
	"cmp"
	"context"
	"slices"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/faultproxy"
	"trefoilferry.example/ferry/pkg/standin/faults"
)

// soakFault is a fault that the soak injects and heals.
type soakFault struct {
	name   string
	inject func(c *cluster.Cluster, r *cluster.Runner, e *cluster.Entry)
	heal   func(c *cluster.Cluster, r *cluster.Runner, e *cluster.Entry) error
}

// soakFaults returns the faults that a lane may inject. Only lane 0 injects log faults, so that two lanes do not heal
// each other's.
func soakFaults(lane int) []soakFault {
	all := append(soakAgentProxyFaults(), soakBackendFaults()...)
	all = append(all, soakProcessFaults()...)
	if lane == 0 {
		all = append(all, soakLogFaults()...)
	}
	return all
}

func soakProcessFaults() []soakFault {
	return []soakFault{
		{name: "kill agent",
			inject: func(c *cluster.Cluster, r *cluster.Runner, _ *cluster.Entry) { killAgent(c, r) },
			heal:   restartAgent},
		{name: "stop agent",
			inject: func(c *cluster.Cluster, r *cluster.Runner, _ *cluster.Entry) { stopAgent(c, r) },
			heal:   restartAgent},
		{name: "pause agent",
			inject: func(_ *cluster.Cluster, r *cluster.Runner, _ *cluster.Entry) { r.Agent.Pause() },
			heal: func(_ *cluster.Cluster, r *cluster.Runner, _ *cluster.Entry) error {
				r.Agent.Resume()
				return nil
			}},
		{name: "kill entry host",
			inject: func(_ *cluster.Cluster, _ *cluster.Runner, e *cluster.Entry) { e.Process.Kill() },
			heal: func(c *cluster.Cluster, _ *cluster.Runner, e *cluster.Entry) error {
				return c.StartEntry(context.Background(), e)
			}},
	}
}

func restartAgent(c *cluster.Cluster, r *cluster.Runner, _ *cluster.Entry) error {
	if err := r.AgentProxy.SetFaults(faultproxy.Faults{}); err != nil {
		return err
	}
	return c.StartAgent(context.Background(), r)
}

func soakAgentProxyFaults() []soakFault {
	var out []soakFault
	for name, f := range namedProxyFaults() {
		out = append(out, soakFault{name: "entry to agent " + name,
			inject: func(_ *cluster.Cluster, r *cluster.Runner, _ *cluster.Entry) { setAndCut(r.AgentProxy, f) },
			heal: func(_ *cluster.Cluster, r *cluster.Runner, _ *cluster.Entry) error {
				return r.AgentProxy.SetFaults(faultproxy.Faults{})
			}})
	}
	return sortedFaults(out)
}

func soakBackendFaults() []soakFault {
	var out []soakFault
	for name, f := range namedProxyFaults() {
		out = append(out, soakFault{name: "agent to backend server " + name,
			inject: func(_ *cluster.Cluster, r *cluster.Runner, _ *cluster.Entry) { setAndCut(r.BackendProxy, f) },
			heal: func(_ *cluster.Cluster, r *cluster.Runner, _ *cluster.Entry) error {
				return r.BackendProxy.SetFaults(faultproxy.Faults{})
			}})
	}
	for name, switches := range map[string]faults.Switches{
		"loses answers":  {LoseAnswerAfterEffect: 3},
		"breaks streams": {BreakStreamAfterTokens: 7, BreakStreams: 3},
		"omits the end":  {OmitDone: 3},
		"mixes chunks":   {WrongChunkID: 3, WrongRequestID: 2},
		"delays orders":  {DelayOrderMillis: 800},
		"drops orders":   {DropOrder: 2},
	} {
		out = append(out, soakFault{name: "backend server " + name,
			inject: func(c *cluster.Cluster, r *cluster.Runner, _ *cluster.Entry) {
				_ = c.SetFaults(context.Background(), r.BackendURL, switches)
			},
			heal: func(c *cluster.Cluster, r *cluster.Runner, _ *cluster.Entry) error {
				return c.SetFaults(context.Background(), r.BackendURL, faults.Switches{})
			}})
	}
	return sortedFaults(out)
}

func soakLogFaults() []soakFault {
	var out []soakFault
	for name, f := range namedProxyFaults() {
		out = append(out, soakFault{name: "log " + name,
			inject: func(c *cluster.Cluster, _ *cluster.Runner, _ *cluster.Entry) { setAndCut(c.LogProxy, f) },
			heal: func(c *cluster.Cluster, _ *cluster.Runner, _ *cluster.Entry) error {
				return c.LogProxy.SetFaults(faultproxy.Faults{})
			}})
	}
	out = append(out, soakFault{name: "log loses answers",
		inject: func(c *cluster.Cluster, _ *cluster.Runner, _ *cluster.Entry) {
			_ = c.SetFaults(context.Background(), c.LogURL, faults.Switches{LoseAnswerAfterEffect: 5})
		},
		heal: func(c *cluster.Cluster, _ *cluster.Runner, _ *cluster.Entry) error {
			return c.SetFaults(context.Background(), c.LogURL, faults.Switches{})
		}})
	return sortedFaults(out)
}

func namedProxyFaults() map[string]faultproxy.Faults {
	return map[string]faultproxy.Faults{
		"cut":           {},
		"refused":       {Refuse: true},
		"answers held":  {HoldToClient: true},
		"requests held": {HoldToTarget: true},
		"slow":          {DelayMillis: 150},
		"reset":         {ResetAfterBytes: 600, Resets: 4},
	}
}

// setAndCut sets the faults of a proxy. A plain cut, resets and refusals need the open connections to be closed to take
// effect.
func setAndCut(p *faultproxy.Proxy, f faultproxy.Faults) {
	_ = p.SetFaults(f)
	if f == (faultproxy.Faults{}) || f.ResetAfterBytes > 0 || f.Refuse {
		p.ResetConnections()
	}
}

// sortedFaults sorts faults by name. The tables are maps, so without it a seed would not select the same faults in every
// run. A new name for a fault changes what a seed selects.
func sortedFaults(all []soakFault) []soakFault {
	slices.SortFunc(all, func(a, b soakFault) int { return cmp.Compare(a.name, b.name) })
	return all
}
