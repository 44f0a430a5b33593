package cluster

import (
	"context"

	"trefoilferry.example/ferry/pkg/infra"
)

// StartSuccessor starts a second agent of a runner under other addresses while the first one may still run, as the
// platform does when it takes a paused agent for dead. The runner refers to the successor afterwards; the former agent is
// returned and is ended with the cluster.
func (c *Cluster) StartSuccessor(ctx context.Context, r *Runner) (*Process, error) {
	addresses, err := freeAddresses(2)
	if err != nil {
		return nil, err
	}
	r.control, r.Admin = addresses[0], addresses[1]
	if r.AgentProxy, err = c.proxy(r.control); err != nil {
		return nil, err
	}
	r.Control = via(r.AgentProxy, r.control)
	path, err := c.writeSettings(r.Spec.Name+"-successor", c.agentSettings(r).with(c.spec.AgentSettings))
	if err != nil {
		return nil, err
	}
	former := r.Agent
	c.former = append(c.former, former)
	r.Agent = NewProcess(r.Spec.Name+"-successor", c.spec.Mirror, c.binaries.Path("ferry-agent"), "--settings", path)
	if err := c.SetHost(ctx, r.host(infra.HostLive)); err != nil {
		return former, err
	}
	return former, c.launch(ctx, r.Agent, r.control)
}
