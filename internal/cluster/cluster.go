package cluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/faultproxy"
)

// Cluster is a running system of daemons and stand-ins. Its methods are not safe for concurrent use.
type Cluster struct {
	// LogURL, HostsURL and StoreURL are the base URLs of the platform stand-ins; they bypass the fault proxies.
	LogURL   string
	HostsURL string
	StoreURL string
	// Entries and Runners are in the order of the specification.
	Entries []*Entry
	Runners []*Runner
	// LogProxy is the fault proxy of the log; nil unless the specification enables proxies.
	LogProxy *faultproxy.Proxy

	spec            Spec
	binaries        Binaries
	dir             string
	logProcess      *Process
	hostListProcess *Process
	storeProcess    *Process
	// superseded are agents that StartSuccessor replaced; they may still run.
	superseded []*Process
	proxies    []*faultproxy.Proxy
	client     *http.Client
}

// startTimeout limits the time until a started process listens, and each HTTP call to a stand-in or daemon.
const startTimeout = 10 * time.Second

// Start starts the whole system: platform stand-ins, runners, entry hosts. It does not wait until the daemons are ready.
// On failure it kills everything started so far.
func Start(ctx context.Context, binaries Binaries, dir string, spec Spec) (*Cluster, error) {
	c := &Cluster{spec: spec, binaries: binaries, dir: dir, client: &http.Client{Timeout: startTimeout}}
	for _, step := range []func(context.Context) error{c.startPlatform, c.startRunners, c.startEntries} {
		if err := step(ctx); err != nil {
			c.Kill()
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) startPlatform(ctx context.Context) error {
	addresses, err := freeAddresses(3)
	if err != nil {
		return err
	}
	store := c.spec.Store
	c.logProcess = c.newStandin("log", "log", addresses[0], "--max-age", c.spec.LogMaxAge.String())
	c.hostListProcess = c.newStandin("hosts", "hosts", addresses[1], "--lag", c.spec.HostListDelay.String())
	c.storeProcess = c.newStandin("store", "store", addresses[2],
		"--loads-per-second", fmt.Sprint(store.LoadsPerSecond),
		"--concurrent", fmt.Sprint(store.MaxConcurrentLoads),
		"--adapters-in-flight", fmt.Sprint(store.AdaptersInFlight),
		"--load-time", store.LoadTime.String())
	c.LogURL = "http://" + addresses[0]
	c.HostsURL = "http://" + addresses[1]
	c.StoreURL = "http://" + addresses[2]
	for i, p := range []*Process{c.logProcess, c.hostListProcess, c.storeProcess} {
		if err := c.launch(ctx, p, addresses[i]); err != nil {
			return err
		}
	}
	c.LogProxy, err = c.newProxy(addresses[0])
	return err
}

func (c *Cluster) startRunners(ctx context.Context) error {
	for _, spec := range c.spec.Runners {
		if _, err := c.AddRunner(ctx, spec); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startEntries(ctx context.Context) error {
	for _, spec := range c.spec.Entries {
		if _, err := c.AddEntry(ctx, spec); err != nil {
			return err
		}
	}
	return nil
}

// launch starts a process and waits until it listens on address.
func (c *Cluster) launch(ctx context.Context, p *Process, address string) error {
	if err := p.Start(); err != nil {
		return err
	}
	err := waitFor(ctx, startTimeout, p.Name+" listens on "+address, func() bool { return accepts(address) || !p.Running() })
	if err == nil && p.Running() {
		return nil
	}
	return failure.Wrap(failure.Internal, failure.NotRun, p.Name+" did not start listening on "+address+":\n"+p.Output(), err)
}

// newProxy starts a fault proxy that forwards to address. It returns nil if the specification has no proxies.
func (c *Cluster) newProxy(address string) (*faultproxy.Proxy, error) {
	if !c.spec.UseFaultProxies {
		return nil, nil
	}
	free, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	p, err := faultproxy.New(free[0], address)
	if err != nil {
		return nil, err
	}
	c.proxies = append(c.proxies, p)
	return p, nil
}

// logAddress returns the address at which daemons reach the log: that of its proxy, if there is one.
func (c *Cluster) logAddress() string {
	return proxyAddress(c.LogProxy, strings.TrimPrefix(c.LogURL, "http://"))
}

// proxyAddress returns the address of the proxy p, or address if p is nil.
func proxyAddress(p *faultproxy.Proxy, address string) string {
	if p == nil {
		return address
	}
	return p.Addr()
}

func (c *Cluster) newStandin(name, kind, address string, args ...string) *Process {
	command := append([]string{c.binaries.Path("ferry-standin"), kind, "--listen", address}, args...)
	return NewProcess(name, c.spec.Mirror, command...)
}

func (c *Cluster) writeSettings(name string, values settingsFile) (string, error) {
	path := filepath.Join(c.dir, name+".ini")
	if err := os.WriteFile(path, []byte(values.String()), 0o600); err != nil {
		return "", failure.Wrap(failure.Internal, failure.NotRun, "cannot write settings file "+path, err)
	}
	return path, nil
}

// WaitReady waits until every daemon reports ready; it fails with code DeadlineExceeded after limit.
func (c *Cluster) WaitReady(ctx context.Context, limit time.Duration) error {
	return waitFor(ctx, limit, "all daemons are ready", func() bool {
		for _, admin := range c.adminAddresses() {
			if !c.isReady(ctx, admin) {
				return false
			}
		}
		return true
	})
}

func (c *Cluster) adminAddresses() []string {
	var out []string
	for _, e := range c.Entries {
		out = append(out, e.AdminAddress)
	}
	for _, r := range c.Runners {
		out = append(out, r.AdminAddress)
	}
	return out
}

func (c *Cluster) isReady(ctx context.Context, admin string) bool {
	status, err := c.statusCode(ctx, "http://"+admin+"/readyz")
	return err == nil && status == http.StatusOK
}
