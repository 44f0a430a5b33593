package cluster

import (
	"context"
	"fmt"

	"trefoilferry.example/ferry/pkg/faultproxy"
	"trefoilferry.example/ferry/pkg/infra"
)

// Runner is a backend server with its agent, each a process of its own.
type Runner struct {
	Spec    RunnerSpec
	Backend *Process
	Agent   *Process
	// BackendURL is the base URL of the engine or service; it bypasses the fault proxy.
	BackendURL string
	// ControlAddress is the agent's address for other daemons: that of AgentProxy, if set. AdminAddress is the address
	// for operators.
	ControlAddress string
	AdminAddress   string
	// AgentProxy and BackendProxy are the fault proxies of the agent and the backend server; nil unless the specification
	// enables proxies.
	AgentProxy   *faultproxy.Proxy
	BackendProxy *faultproxy.Proxy

	// backendAddress and agentAddress are the addresses that the two processes listen on.
	backendAddress string
	agentAddress   string
}

func (c *Cluster) newRunner(spec RunnerSpec) (*Runner, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	r := &Runner{Spec: spec, backendAddress: addresses[0], agentAddress: addresses[1], AdminAddress: addresses[2]}
	r.BackendURL = "http://" + r.backendAddress
	if r.AgentProxy, err = c.newProxy(r.agentAddress); err != nil {
		return nil, err
	}
	if r.BackendProxy, err = c.newProxy(r.backendAddress); err != nil {
		return nil, err
	}
	r.ControlAddress = proxyAddress(r.AgentProxy, r.agentAddress)
	r.Backend = c.newBackend(r)
	path, err := c.writeSettings(spec.Name, c.agentSettings(r).override(c.spec.AgentSettings))
	if err != nil {
		return nil, err
	}
	r.Agent = NewProcess(spec.Name, c.spec.Mirror, c.binaries.Path("ferry-agent"), "--settings", path)
	return r, nil
}

func (c *Cluster) newBackend(r *Runner) *Process {
	if r.Spec.Service != "" {
		args := append([]string{"--name", r.Spec.Service}, r.Spec.BackendArgs...)
		return c.newStandin(r.Spec.Name+"-service", "service", r.backendAddress, args...)
	}
	args := []string{"--memory", fmt.Sprint(r.Spec.MemoryBytes), "--store", c.StoreURL}
	if r.Spec.HonoursFencing {
		args = append(args, "--honour-fencing")
	}
	return c.newStandin(r.Spec.Name+"-engine", "engine", r.backendAddress, append(args, r.Spec.BackendArgs...)...)
}

func (c *Cluster) agentSettings(r *Runner) settingsFile {
	values := settingsFile{
		"host.name":           r.Spec.Name,
		"host.region":         r.Spec.Region,
		"host.failure_domain": r.Spec.FailureDomain,
		"listen.control":      r.agentAddress,
		"listen.advertise":    r.ControlAddress,
		"listen.admin":        r.AdminAddress,
		"platform.log_url":    "http://" + c.logAddress(),
		"platform.hosts_url":  c.HostsURL,
		"backend.url":         "http://" + proxyAddress(r.BackendProxy, r.backendAddress),
	}
	if r.Spec.Service != "" {
		return values.override(map[string]string{"backend.kind": "service", "backend.service": r.Spec.Service})
	}
	return values.override(map[string]string{
		"backend.kind":              "engine",
		"backend.honours_fencing":   fmt.Sprint(r.Spec.HonoursFencing),
		"backend.memory_bytes":      fmt.Sprint(r.Spec.MemoryBytes),
		"backend.accelerators":      fmt.Sprint(max(1, r.Spec.Accelerators)),
		"backend.adapter_in_flight": fmt.Sprint(max(1, c.spec.Store.AdaptersInFlight)),
		"backend.store_concurrency": fmt.Sprint(max(1, c.spec.Store.MaxConcurrentLoads)),
	})
}

func (r *Runner) host(state infra.HostState) infra.Host {
	return infra.Host{
		Name:          r.Spec.Name,
		Role:          infra.RoleRunner,
		Address:       r.ControlAddress,
		Region:        r.Spec.Region,
		FailureDomain: r.Spec.FailureDomain,
		State:         state,
	}
}

// AddRunner starts a backend server, adds its host to the host list and starts its agent. It waits until the agent
// listens, not until it is ready.
func (c *Cluster) AddRunner(ctx context.Context, spec RunnerSpec) (*Runner, error) {
	r, err := c.newRunner(spec)
	if err != nil {
		return nil, err
	}
	c.Runners = append(c.Runners, r)
	if err := c.launch(ctx, r.Backend, r.backendAddress); err != nil {
		return nil, err
	}
	if err := c.SetHost(ctx, r.host(infra.HostLive)); err != nil {
		return nil, err
	}
	return r, c.launch(ctx, r.Agent, r.agentAddress)
}
