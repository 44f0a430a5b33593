package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/failure"
)

// Role is the role of the measured daemon.
type Role string

// Roles that can be measured.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// daemon is the process that is measured.
type daemon struct {
	process        *cluster.Process
	controlAddress string
	callersAddress string
	adminAddress   string
	// startup is the time from the start of the process until it was ready.
	startup time.Duration
}

const (
	readyTimeout      = 60 * time.Second
	readyPollInterval = 20 * time.Millisecond
	stopTimeout       = 10 * time.Second
)

// startDaemon starts the program of the role as the measured host of the population and waits until it is ready.
func startDaemon(ctx context.Context, binDir, dir string, p *population, env *environment) (*daemon, error) {
	role := p.role
	d, err := newDaemon()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "settings.ini")
	if err := os.WriteFile(path, []byte(d.settings(p, env)), 0o600); err != nil {
		return nil, failure.Wrap(failure.Internal, failure.NotRun, "cannot write settings file "+path, err)
	}
	d.process = cluster.NewProcess(string(role), nil, filepath.Join(binDir, "ferry-"+string(role)), "--settings", path)
	started := time.Now()
	if err := d.process.Start(); err != nil {
		return nil, err
	}
	if err := d.waitReady(ctx); err != nil {
		d.process.Kill()
		return nil, err
	}
	d.startup = time.Since(started)
	return d, nil
}

// newDaemon returns a daemon with three free loopback addresses. The listeners that find them stay open until all three
// are known, so that the addresses differ.
func newDaemon() (*daemon, error) {
	addresses := make([]string, 3)
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, failure.Wrap(failure.Internal, failure.NotRun, "no free port", err)
		}
		defer func() { _ = l.Close() }()
		addresses[i] = l.Addr().String()
	}
	return &daemon{controlAddress: addresses[0], adminAddress: addresses[1], callersAddress: addresses[2]}, nil
}

// settings returns the settings file of the daemon as INI text.
func (d *daemon) settings(p *population, env *environment) string {
	var b strings.Builder
	role, size := p.role, p.size
	name := entryName(p.measured)
	if role == RoleAgent {
		name = runnerName(p.measured)
	}
	fmt.Fprintf(&b, "[host]\nname = %s\nregion = %s\nfailure_domain = %s\n", name, size.region(p.measured), size.domain(p.measured))
	fmt.Fprintf(&b, "[listen]\ncontrol = %s\nadmin = %s\n", d.controlAddress, d.adminAddress)
	if role == RoleEntry {
		fmt.Fprintf(&b, "callers = %s\n", d.callersAddress)
	}
	fmt.Fprintf(&b, "[platform]\nlog_url = %s\nhosts_url = %s\n", env.logURL, env.hostsURL)
	if role == RoleAgent {
		fmt.Fprintf(&b, "[backend]\nkind = engine\nurl = %s\nmemory_bytes = %d\n", env.engineURL, uint64(runnerMemory))
	}
	return b.String()
}

// waitReady polls the readiness endpoint until it returns 200. It fails with code NotReady when the process exits, ctx
// ends or the timeout passes.
func (d *daemon) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil && d.process.Running() {
		resp, err := http.Get("http://" + d.adminAddress + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyPollInterval)
	}
	return failure.New(failure.NotReady, failure.Unknown, fmt.Sprintf("%s did not become ready (limit %v):\n", d.process.Name, readyTimeout)+d.process.Output())
}
