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

// Cluster is a running system. Its methods are for one goroutine.
type Cluster struct {
	// LogURL, HostsURL and StoreURL are the stand-ins of the platform, without fault proxies.
	LogURL   string
	HostsURL string
	StoreURL string
	// Entries and Runners are in the order of the specification.
	Entries []*Entry
	Runners []*Runner
	// LogProxy stands before the log when the specification asks for proxies.
	LogProxy *faultproxy.Proxy

	spec     Spec
	binaries Binaries
	dir      string
	log      *Process
	hosts    *Process
	store    *Process
	// former are agents that a successor replaced.
	former  []*Process
	proxies []*faultproxy.Proxy
	client  *http.Client
}

// startWait bounds the time for a stand-in to listen.
const startWait = 10 * time.Second

// Start runs the whole system. On failure everything started so far is ended.
func Start(ctx context.Context, binaries Binaries, dir string, spec Spec) (*Cluster, error) {
	c := &Cluster{spec: spec, binaries: binaries, dir: dir, client: &http.Client{Timeout: startWait}}
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
	c.log = c.standin("log", "log", addresses[0], "--max-age", c.spec.LogMaxAge.String())
	c.hosts = c.standin("hosts", "hosts", addresses[1], "--lag", c.spec.HostLag.String())
	c.store = c.standin("store", "store", addresses[2],
		"--loads-per-second", fmt.Sprint(store.LoadsPerSecond),
		"--concurrent", fmt.Sprint(store.Concurrent),
		"--adapters-in-flight", fmt.Sprint(store.AdaptersInFlight),
		"--load-time", store.LoadTime.String())
	c.LogURL = "http://" + addresses[0]
	c.HostsURL = "http://" + addresses[1]
	c.StoreURL = "http://" + addresses[2]
	for i, p := range []*Process{c.log, c.hosts, c.store} {
		if err := c.launch(ctx, p, addresses[i]); err != nil {
			return err
		}
	}
	c.LogProxy, err = c.proxy(addresses[0])
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
	err := waitFor(ctx, startWait, p.Name+" listens", func() bool { return dials(address) || !p.Running() })
	if err == nil && p.Running() {
		return nil
	}
	return failure.Wrap(failure.Internal, failure.NotRun, p.Name+" did not start:\n"+p.Output(), err)
}

// proxy returns a fault proxy before address, or nil without proxies.
func (c *Cluster) proxy(address string) (*faultproxy.Proxy, error) {
	if !c.spec.Proxied {
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

// logAddress returns the address under which daemons reach the log.
func (c *Cluster) logAddress() string {
	return via(c.LogProxy, strings.TrimPrefix(c.LogURL, "http://"))
}

// via returns the address of the proxy, or address without one.
func via(p *faultproxy.Proxy, address string) string {
	if p == nil {
		return address
	}
	return p.Addr()
}

func (c *Cluster) standin(name, kind, address string, args ...string) *Process {
	command := append([]string{c.binaries.Path("ferry-standin"), kind, "--listen", address}, args...)
	return NewProcess(name, c.spec.Mirror, command...)
}

func (c *Cluster) writeSettings(name string, values settingsFile) (string, error) {
	path := filepath.Join(c.dir, name+".ini")
	if err := os.WriteFile(path, []byte(values.String()), 0o600); err != nil {
		return "", failure.Wrap(failure.Internal, failure.NotRun, "settings file not written", err)
	}
	return path, nil
}

// WaitReady waits until every daemon reports ready.
func (c *Cluster) WaitReady(ctx context.Context, limit time.Duration) error {
	return waitFor(ctx, limit, "all daemons are ready", func() bool {
		for _, admin := range c.adminAddresses() {
			if !c.ready(ctx, admin) {
				return false
			}
		}
		return true
	})
}

func (c *Cluster) adminAddresses() []string {
	var out []string
	for _, e := range c.Entries {
		out = append(out, e.Admin)
	}
	for _, r := range c.Runners {
		out = append(out, r.Admin)
	}
	return out
}

func (c *Cluster) ready(ctx context.Context, admin string) bool {
	status, err := c.status(ctx, "http://"+admin+"/readyz")
	return err == nil && status == http.StatusOK
}
