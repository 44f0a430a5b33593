package capacity

import (
	"context"
	"os"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra/httplog"

	"net/http"
)

// Result is the result of one scenario.
type Result struct {
	Scenario Scenario `json:"scenario"`
	Usage    Usage    `json:"usage"`
	// StartupMillis is the time from the start of the daemon until it was ready, in milliseconds.
	StartupMillis int64 `json:"startup_millis"`
}

// warmup is the time between the start of the workload and the first reading.
const warmup = 3 * time.Second

// Run measures one scenario with the programs in binDir. The error of a failed run names the step that failed.
func Run(ctx context.Context, binDir string, scenario Scenario) (Result, error) {
	dir, err := os.MkdirTemp("", "ferry-capacity-")
	if err != nil {
		return Result{}, failure.Wrap(failure.Internal, failure.NotRun, "cannot create a directory for settings", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	env, err := newEnvironment()
	if err != nil {
		return Result{}, err
	}
	defer env.close()
	p := newPopulation(scenario.Size, httplog.New(env.unmeteredLogURL, &http.Client{Timeout: callTimeout}), env.peerAddress)
	p.role = scenario.Role
	if p.measured, err = p.selectHost(scenario.Role, scenario.Position); err != nil {
		return Result{}, err
	}
	if err := p.writeAll(ctx); err != nil {
		return Result{}, err
	}
	for _, h := range p.hosts() {
		env.hosts.Put(h)
	}
	d, err := startDaemon(ctx, binDir, dir, p, env)
	if err != nil {
		return Result{}, err
	}
	defer d.process.Kill()
	return measure(ctx, env, p, d, scenario)
}

// measure runs the workload and returns the usage of the daemon between the end of the warm-up and the end of the
// scenario.
func measure(ctx context.Context, env *environment, p *population, d *daemon, scenario Scenario) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newWorkload(scenario, p, d)
	w.start(ctx)
	time.Sleep(warmup)
	before, err := env.takeReading(d.process.PID(), w.meter)
	if err != nil {
		return Result{}, err
	}
	time.Sleep(scenario.Duration)
	after, err := env.takeReading(d.process.PID(), w.meter)
	if err != nil {
		return Result{}, err
	}
	return Result{Scenario: scenario, Usage: usageBetween(before, after), StartupMillis: d.startup.Milliseconds()}, nil
}
