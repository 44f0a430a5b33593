package cluster

import (
	"context"

	"trefoilferry.example/ferry/pkg/infra"
)

// StartSuccessor starts a second agent for a runner at new addresses while the first one may still run, as the platform
// does when it considers a paused agent dead. Afterwards r refers to the successor. The previous agent is returned; Kill
// ends it with the cluster.
func (c *Cluster) StartSuccessor(ctx context.Context, r *Runner) (*Process, error) {
	addresses, err := freeAddresses(2)
	if err != nil {
		return nil, err
	}
	r.agentAddress, r.AdminAddress = addresses[0], addresses[1]
	if r.AgentProxy, err = c.newProxy(r.agentAddress); err != nil {
		return nil, err
	}
	r.ControlAddress = proxyAddress(r.AgentProxy, r.agentAddress)
	path, err := c.writeSettings(r.Spec.Name+"-successor", c.agentSettings(r).override(c.spec.AgentSettings))
	if err != nil {
		return nil, err
	}
	previous := r.Agent
	c.superseded = append(c.superseded, previous)
	r.Agent = NewProcess(r.Spec.Name+"-successor", c.spec.Mirror, c.binaries.Path("ferry-agent"), "--settings", path)
	if err := c.SetHost(ctx, r.host(infra.HostLive)); err != nil {
		return previous, err
	}
	return previous, c.launch(ctx, r.Agent, r.agentAddress)
}
