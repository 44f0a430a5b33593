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

// daemon is the measured process.
type daemon struct {
	process *cluster.Process
	control string
	callers string
	admin   string
	// startup is the time from the start until the daemon was ready.
	startup time.Duration
}

const (
	readyWait  = 60 * time.Second
	readyPause = 20 * time.Millisecond
	stopWait   = 10 * time.Second
)

// startDaemon runs the program of the role as the measured host of the population.
func startDaemon(ctx context.Context, binDir, dir string, p *population, s *surroundings) (*daemon, error) {
	role := p.role
	d, err := newDaemon()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "settings.ini")
	if err := os.WriteFile(path, []byte(d.settings(p, s)), 0o600); err != nil {
		return nil, failure.Wrap(failure.Internal, failure.NotRun, "settings not written", err)
	}
	d.process = cluster.NewProcess(string(role), nil, filepath.Join(binDir, "ferry-"+string(role)), "--settings", path)
	began := time.Now()
	if err := d.process.Start(); err != nil {
		return nil, err
	}
	if err := d.waitReady(ctx); err != nil {
		d.process.Kill()
		return nil, err
	}
	d.startup = time.Since(began)
	return d, nil
}

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
	return &daemon{control: addresses[0], admin: addresses[1], callers: addresses[2]}, nil
}

func (d *daemon) settings(p *population, s *surroundings) string {
	var b strings.Builder
	role, size := p.role, p.size
	name := entryName(p.self)
	if role == RoleAgent {
		name = runnerName(p.self)
	}
	fmt.Fprintf(&b, "[host]\nname = %s\nregion = %s\nfailure_domain = %s\n", name, size.region(p.self), size.domain(p.self))
	fmt.Fprintf(&b, "[listen]\ncontrol = %s\nadmin = %s\n", d.control, d.admin)
	if role == RoleEntry {
		fmt.Fprintf(&b, "callers = %s\n", d.callers)
	}
	fmt.Fprintf(&b, "[platform]\nlog_url = %s\nhosts_url = %s\n", s.logURL, s.hostsURL)
	if role == RoleAgent {
		fmt.Fprintf(&b, "[backend]\nkind = engine\nurl = %s\nmemory_bytes = %d\n", s.engineURL, uint64(runnerMemory))
	}
	return b.String()
}

func (d *daemon) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyWait)
	for time.Now().Before(deadline) && ctx.Err() == nil && d.process.Running() {
		resp, err := http.Get("http://" + d.admin + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyPause)
	}
	return failure.New(failure.NotReady, failure.Unknown, "the daemon did not become ready:\n"+d.process.Output())
}
