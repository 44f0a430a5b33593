package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/faultproxy"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/standin/faults"
	"trefoilferry.example/ferry/pkg/stream"
)

// configApplyBound is the guaranteed time from the publication of a change set until every daemon has applied it.
const configApplyBound = 3 * time.Second

// configFault is a fault that is present while a change set is published.
type configFault struct {
	name string
	// inject returns the processes that cannot receive the configuration before the fault is healed.
	inject func(t *testing.T, c *cluster.Cluster) []*cluster.Process
	heal   func(t *testing.T, c *cluster.Cluster)
}

func configFaults() []configFault {
	noHeal := func(*testing.T, *cluster.Cluster) {}
	return []configFault{
		{"no fault", func(*testing.T, *cluster.Cluster) []*cluster.Process { return nil }, noHeal},
		{"daemon paused", pauseDaemons(1, false), resumeDaemons},
		{"relay paused", pauseDaemons(1, true), resumeDaemons},
		{"both relays paused", pauseDaemons(2, true), resumeDaemons},
		{"entry host without the log: connections refused", cutEntryLog(faultproxy.Faults{Refuse: true}, true), restoreEntryLog},
		{"entry host without the log: packets lost", cutEntryLog(faultproxy.Faults{HoldToClient: true, HoldToTarget: true}, false), restoreEntryLog},
		{"log slow", func(t *testing.T, c *cluster.Cluster) []*cluster.Process {
			must(t, c.SetFaults(context.Background(), c.LogURL, faults.Switches{DelayMillis: 300}))
			return nil
		}, func(t *testing.T, c *cluster.Cluster) {
			must(t, c.SetFaults(context.Background(), c.LogURL, map[string]any{"delay_millis": 0}))
		}},
	}
}

// domainDaemons returns the processes of the first failure domain that relay the config stream if relays is set, and the
// other ones of that domain if not.
func domainDaemons(c *cluster.Cluster, relays bool) []*cluster.Process {
	domain := regions[0]
	var hosts []infra.Host
	processes := map[string]*cluster.Process{}
	add := func(name string, role infra.Role, failureDomain string, p *cluster.Process) {
		if failureDomain == domain {
			hosts = append(hosts, infra.Host{Name: name, Role: role, FailureDomain: domain, State: infra.HostLive})
			processes[name] = p
		}
	}
	for _, r := range c.Runners {
		add(r.Spec.Name, infra.RoleRunner, r.Spec.FailureDomain, r.Agent)
	}
	for _, e := range c.Entries {
		add(e.Spec.Name, infra.RoleEntry, e.Spec.FailureDomain, e.Process)
	}
	var out []*cluster.Process
	for _, h := range hosts {
		if stream.TreePositionOf(h.Name, domain, hosts).IsRoot == relays {
			out = append(out, processes[h.Name])
		}
	}
	return out
}

func pauseDaemons(n int, relays bool) func(*testing.T, *cluster.Cluster) []*cluster.Process {
	return func(t *testing.T, c *cluster.Cluster) []*cluster.Process {
		paused := domainDaemons(c, relays)[:n]
		for _, p := range paused {
			p.Pause()
		}
		return paused
	}
}

func resumeDaemons(_ *testing.T, c *cluster.Cluster) {
	for _, p := range c.Daemons() {
		p.Resume()
	}
}

func cutEntryLog(f faultproxy.Faults, cut bool) func(*testing.T, *cluster.Cluster) []*cluster.Process {
	return func(t *testing.T, c *cluster.Cluster) []*cluster.Process {
		must(t, c.Entries[0].LogProxy.SetFaults(f))
		if cut {
			c.Entries[0].LogProxy.ResetConnections()
		}
		return nil
	}
}

func restoreEntryLog(t *testing.T, c *cluster.Cluster) {
	must(t, c.Entries[0].LogProxy.SetFaults(faultproxy.Faults{}))
}

// Guards against a daemon that applies configuration too late, or goes back to an older one, while another part of the
// system is faulty.
func TestPublishedConfigIsAppliedWithinBound(t *testing.T) {
	spec := smallSpec()
	spec.EntrySettings = map[string]string{"platform.use_relays": "true", "platform.hosts_interval": "500ms"}
	c := start(t, spec)
	sampleOffsets(t, c)
	for i, fault := range configFaults() {
		t.Run(fault.name, func(t *testing.T) {
			checkApplied(t, c, fault, fmt.Sprintf("alpha-%d", i))
		})
	}
}

func checkApplied(t *testing.T, c *cluster.Cluster, fault configFault, adapter string) {
	excluded := fault.inject(t, c)
	healed := false
	defer func() {
		if !healed {
			fault.heal(t, c)
		}
	}()
	offset, accepted := publish(t, c, adapter, adapterConfig(adapter, "64MiB"))
	requireApplied(t, c, offset, accepted.Add(configApplyBound), excluded)
	for _, entry := range c.Entries {
		if isExcluded(entry.Process, excluded) {
			continue
		}
		requireResponse(t, entry, "alpha", adapter, 10*time.Second)
	}
	fault.heal(t, c)
	healed = true
	requireApplied(t, c, offset, time.Now().Add(configApplyBound), nil)
}

func adapterConfig(name, bytes string) string {
	return fmt.Sprintf("[adapter %q]\nmodel = alpha\nbytes = %s\n", name, bytes)
}

// requireResponse fails the test unless the entry host streams an intact response of a model, or of an adapter of it,
// within limit.
func requireResponse(t *testing.T, entry *cluster.Entry, model, adapter string, limit time.Duration) {
	t.Helper()
	target := model
	if adapter != "" {
		target = adapter
	}
	ctx, cancel := withTimeout(limit)
	defer cancel()
	prompt := uniquePrompt()
	started := time.Now()
	r := chat(ctx, entry.URL, target, prompt, 8, true, nil)
	if !r.intact(model, adapter, prompt, 8) {
		t.Errorf("response of %s via %s not intact after %v: status %d code %s stream error %q done %v err %v", target, entry.Spec.Name,
			time.Since(started).Round(time.Millisecond), r.status, r.code, r.streamErr, r.done, r.err)
	}
}
