package capacity

import (
	"context"
	"os"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra/httplog"

	"net/http"
)

// Result is the outcome of one scenario.
type Result struct {
	Scenario Scenario `json:"scenario"`
	Usage    Usage    `json:"usage"`
	// Startup is the time until the daemon was ready, in milliseconds.
	Startup int64 `json:"startup_millis"`
}

// warmup is the time between the start and the first reading.
const warmup = 3 * time.Second

// Run measures one scenario with the programs in binDir. Failures tell which step failed.
func Run(ctx context.Context, binDir string, scenario Scenario) (Result, error) {
	dir, err := os.MkdirTemp("", "ferry-capacity-")
	if err != nil {
		return Result{}, failure.Wrap(failure.Internal, failure.NotRun, "no directory", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := newSurroundings()
	if err != nil {
		return Result{}, err
	}
	defer s.close()
	p := newPopulation(scenario.Size, httplog.New(s.ownLogURL, &http.Client{Timeout: callTimeout}), s.peers)
	p.role = scenario.Role
	if p.self, err = p.choose(scenario.Role, scenario.Position); err != nil {
		return Result{}, err
	}
	if err := p.fill(ctx); err != nil {
		return Result{}, err
	}
	for _, h := range p.hosts() {
		s.hosts.Put(h)
	}
	d, err := startDaemon(ctx, binDir, dir, p, s)
	if err != nil {
		return Result{}, err
	}
	defer d.process.Kill()
	return measure(ctx, s, p, d, scenario)
}

func measure(ctx context.Context, s *surroundings, p *population, d *daemon, scenario Scenario) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := newActivity(scenario, p, d)
	a.start(ctx)
	time.Sleep(warmup)
	before, err := s.read(d.process.PID(), a.meter)
	if err != nil {
		return Result{}, err
	}
	time.Sleep(scenario.Duration)
	after, err := s.read(d.process.PID(), a.meter)
	if err != nil {
		return Result{}, err
	}
	return Result{Scenario: scenario, Usage: between(before, after), Startup: d.startup.Milliseconds()}, nil
}
