package cluster

import (
	"errors"
	"time"
)

// Stop shuts the system down gracefully: entry hosts, agents, backend servers, then the platform stand-ins. Each process
// has limit to exit. Stop continues after a failure and returns all failures joined.
func (c *Cluster) Stop(limit time.Duration) error {
	var failures []error
	for _, e := range c.Entries {
		failures = append(failures, e.Process.Stop(limit))
	}
	for _, r := range c.Runners {
		failures = append(failures, r.Agent.Stop(limit))
	}
	for _, r := range c.Runners {
		failures = append(failures, r.Backend.Stop(limit))
	}
	for _, p := range []*Process{c.storeProcess, c.hostListProcess, c.logProcess} {
		failures = append(failures, p.Stop(limit))
	}
	c.closeProxies()
	return errors.Join(failures...)
}

// Kill kills all processes, also agents that StartSuccessor replaced. It may be called after Stop.
func (c *Cluster) Kill() {
	for _, e := range c.Entries {
		e.Process.Kill()
	}
	for _, r := range c.Runners {
		r.Agent.Kill()
		r.Backend.Kill()
	}
	for _, p := range c.superseded {
		p.Kill()
	}
	for _, p := range []*Process{c.storeProcess, c.hostListProcess, c.logProcess} {
		if p != nil {
			p.Kill()
		}
	}
	c.closeProxies()
}

func (c *Cluster) closeProxies() {
	for _, p := range c.proxies {
		p.Close()
	}
	c.proxies = nil
}
