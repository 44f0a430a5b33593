package cluster

import (
	"context"

	"trefoilferry.example/ferry/pkg/faultproxy"
	"trefoilferry.example/ferry/pkg/infra"
)

// Entry is a running entry host.
type Entry struct {
	Spec    EntrySpec
	Process *Process
	// URL is the base URL for callers.
	URL string
	// ControlAddress and AdminAddress are the addresses (IP:port) for other daemons and for operators.
	ControlAddress string
	AdminAddress   string
	// LogProxy is a fault proxy for this entry host alone; it forwards to LogProxy of the cluster. It is nil unless the
	// specification enables proxies.
	LogProxy *faultproxy.Proxy

	callersAddress string
}

func (c *Cluster) newEntry(spec EntrySpec) (*Entry, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	e := &Entry{Spec: spec, callersAddress: addresses[0], ControlAddress: addresses[1], AdminAddress: addresses[2]}
	e.URL = "http://" + e.callersAddress
	if e.LogProxy, err = c.newProxy(c.logAddress()); err != nil {
		return nil, err
	}
	path, err := c.writeSettings(spec.Name, c.entrySettings(e).override(c.spec.EntrySettings))
	if err != nil {
		return nil, err
	}
	e.Process = NewProcess(spec.Name, c.spec.Mirror, c.binaries.Path("ferry-entry"), "--settings", path)
	return e, nil
}

func (c *Cluster) entrySettings(e *Entry) settingsFile {
	return settingsFile{
		"host.name":           e.Spec.Name,
		"host.region":         e.Spec.Region,
		"host.failure_domain": e.Spec.FailureDomain,
		"listen.callers":      e.callersAddress,
		"listen.control":      e.ControlAddress,
		"listen.admin":        e.AdminAddress,
		"platform.log_url":    "http://" + proxyAddress(e.LogProxy, c.logAddress()),
		"platform.hosts_url":  c.HostsURL,
		"drain.grace":         "300ms",
	}
}

func (e *Entry) host(state infra.HostState) infra.Host {
	return infra.Host{
		Name:          e.Spec.Name,
		Role:          infra.RoleEntry,
		Address:       e.ControlAddress,
		Region:        e.Spec.Region,
		FailureDomain: e.Spec.FailureDomain,
		State:         state,
	}
}

// AddEntry adds an entry host to the host list and starts it. It waits until the entry host listens, not until it is
// ready.
func (c *Cluster) AddEntry(ctx context.Context, spec EntrySpec) (*Entry, error) {
	e, err := c.newEntry(spec)
	if err != nil {
		return nil, err
	}
	c.Entries = append(c.Entries, e)
	if err := c.SetHost(ctx, e.host(infra.HostLive)); err != nil {
		return nil, err
	}
	return e, c.launch(ctx, e.Process, e.callersAddress)
}
