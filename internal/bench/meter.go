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

// Role is the kind of a daemon.
type Role string

// Roles of daemons.
const (
	EntryHost Role = "entry"
	Agent     Role = "agent"
)

// reading is the state of one daemon at one time.
type reading struct {
	role Role
	pid  int
	// cpu is in seconds, rss and control are in bytes.
	cpu     float64
	rss     int
	control float64
}

// readings are the state of all daemons, of the log and of the machine at one time.
type readings struct {
	at      time.Time
	daemons map[string]reading
	log     logstandin.Counters
	// busy and total are processor seconds of the machine.
	busy  float64
	total float64
}

// meter reads processor time and memory from the kernel and control traffic from the daemons' metrics.
type meter struct {
	cluster *cluster.Cluster
	fs      procfs.FS
	client  *http.Client
}

// scrapeLimit bounds one read of metrics; a paused daemon does not answer.
const scrapeLimit = 500 * time.Millisecond

func newMeter(c *cluster.Cluster) (*meter, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return nil, failure.Wrap(failure.Internal, failure.NotRun, "no process information", err)
	}
	return &meter{cluster: c, fs: fs, client: &http.Client{Timeout: scrapeLimit}}, nil
}

// read returns the present state. Daemons that have ended are left out.
func (m *meter) read(ctx context.Context) readings {
	out := readings{at: time.Now(), daemons: map[string]reading{}}
	for _, e := range m.cluster.Entries {
		m.readDaemon(ctx, &out, EntryHost, e.Process, e.Admin)
	}
	for _, r := range m.cluster.Runners {
		m.readDaemon(ctx, &out, Agent, r.Agent, r.Admin)
	}
	// Without an answer the counters stay 0; the log is out then.
	_ = m.cluster.Counters(ctx, m.cluster.LogURL, "/counters", &out.log)
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
	r := reading{role: role, pid: p.PID(), cpu: stat.CPUTime(), rss: stat.ResidentMemory()}
	// A daemon without an answer counts no control traffic.
	r.control, _ = scrapeControlBytes(ctx, m.client, admin)
	out.daemons[p.Name] = r
}

func (m *meter) readMachine(out *readings) {
	stat, err := m.fs.Stat()
	if err != nil {
		return
	}
	c := stat.CPUTotal
	out.busy = c.User + c.Nice + c.System + c.IRQ + c.SoftIRQ
	out.total = out.busy + c.Idle + c.Iowait + c.Steal
}
