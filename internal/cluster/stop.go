package cluster

import (
	"errors"
	"time"
)

// Stop ends the daemons gracefully, entry hosts first, then the stand-ins. It returns every failure.
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
	for _, p := range []*Process{c.store, c.hosts, c.log} {
		failures = append(failures, p.Stop(limit))
	}
	c.closeProxies()
	return errors.Join(failures...)
}

// Kill ends all processes at once. It may follow a Stop.
func (c *Cluster) Kill() {
	for _, e := range c.Entries {
		e.Process.Kill()
	}
	for _, r := range c.Runners {
		r.Agent.Kill()
		r.Backend.Kill()
	}
	for _, p := range c.former {
		p.Kill()
	}
	for _, p := range []*Process{c.store, c.hosts, c.log} {
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
