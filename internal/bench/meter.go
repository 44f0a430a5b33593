package bench

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/procfs"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/failure"
	logstandin "trefoilferry.example/ferry/pkg/standin/log"
)

// Role is the role of a daemon.
type Role string

// Roles of daemons.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// reading holds the counters of one daemon at one time.
type reading struct {
	role         Role
	pid          int
	cpuSeconds   float64
	rssBytes     int
	controlBytes float64
}

// readings holds the counters of all daemons, of the log and of the machine at one time.
type readings struct {
	at      time.Time
	daemons map[string]reading
	log     logstandin.Counters
	// busySeconds and totalSeconds are processor time of all cores of the machine; busySeconds leaves out idle, I/O wait
	// and steal time.
	busySeconds  float64
	totalSeconds float64
}

// meter reads processor time and memory from the kernel and control traffic from the daemons' metrics.
type meter struct {
	cluster *cluster.Cluster
	fs      procfs.FS
	client  *http.Client
}

// scrapeTimeout limits each read of a daemon's metrics. It is short because a paused daemon does not respond.
const scrapeTimeout = 500 * time.Millisecond

func newMeter(c *cluster.Cluster) (*meter, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return nil, failure.Wrap(failure.Internal, failure.NotRun, "cannot open the proc file system", err)
	}
	return &meter{cluster: c, fs: fs, client: &http.Client{Timeout: scrapeTimeout}}, nil
}

// read returns the current readings. Daemons that are not running are left out.
func (m *meter) read(ctx context.Context) readings {
	out := readings{at: time.Now(), daemons: map[string]reading{}}
	for _, e := range m.cluster.Entries {
		m.readDaemon(ctx, &out, RoleEntry, e.Process, e.AdminAddress)
	}
	for _, r := range m.cluster.Runners {
		m.readDaemon(ctx, &out, RoleAgent, r.Agent, r.AdminAddress)
	}
	// The error is ignored: the log is down then and its counters stay 0.
	_ = m.cluster.ReadCounters(ctx, m.cluster.LogURL, "/counters", &out.log)
	m.readMachine(&out)
	return out
}

func (m *meter) readDaemon(ctx context.Context, out *readings, role Role, p *cluster.Process, admin string) {
	if !p.Running() {
		return
	}
	proc, err := m.fs.Proc(p.PID())
	if err != nil {
		return
	}
	stat, err := proc.Stat()
	if err != nil {
		return
	}
	r := reading{role: role, pid: p.PID(), cpuSeconds: stat.CPUTime(), rssBytes: stat.ResidentMemory()}
	// The error is ignored: a daemon that does not respond is counted with no control traffic.
	r.controlBytes, _ = scrapeControlBytes(ctx, m.client, admin)
	out.daemons[p.Name] = r
}

func (m *meter) readMachine(out *readings) {
	stat, err := m.fs.Stat()
	if err != nil {
		return
	}
	c := stat.CPUTotal
	out.busySeconds = c.User + c.Nice + c.System + c.IRQ + c.SoftIRQ
	out.totalSeconds = out.busySeconds + c.Idle + c.Iowait + c.Steal
}
