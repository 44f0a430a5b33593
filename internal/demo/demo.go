// Package demo runs the Daylighting Directorate's sample deployment on loopback, sends requests through it and checks the
// responses.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/failure"
)

// Timeouts of the steps.
const (
	readyTimeout     = 15 * time.Second
	placementTimeout = 40 * time.Second
	stopTimeout      = 15 * time.Second
)

// The demo's weight store loads models faster than the Directorate's, so that the demo ends within a minute.
const (
	storeLoadsPerSecond = 20
	storeConcurrent     = 16
	storeLoadTime       = 100 * time.Millisecond
)

// Demo is one run of the demo.
type Demo struct {
	out      io.Writer
	binaries cluster.Binaries
	profile  cluster.Profile
	cluster  *cluster.Cluster
}

// New returns a demo that uses the programs in binDir and writes its report to out.
func New(binDir string, out io.Writer) *Demo {
	profile := cluster.Directorate(1)
	profile.Spec.Entries = profile.Spec.Entries[:2]
	profile.Spec.Store.LoadsPerSecond = storeLoadsPerSecond
	profile.Spec.Store.MaxConcurrentLoads = storeConcurrent
	profile.Spec.Store.LoadTime = storeLoadTime
	return &Demo{out: out, binaries: cluster.Binaries{Dir: binDir}, profile: profile}
}

// Run starts the system, sends the requests, prints the responses and the state of the system, and shuts everything down
// gracefully. If a step fails, it prints the latest output of the daemons.
func (d *Demo) Run(ctx context.Context) error {
	return d.withSystem(ctx, d.sendRequests)
}

// Up starts the system, prints its addresses and keeps it running until ctx ends. It then shuts it down gracefully.
func (d *Demo) Up(ctx context.Context) error {
	return d.withSystem(ctx, func(ctx context.Context) error {
		d.printAddresses()
		<-ctx.Done()
		return nil
	})
}

// withSystem starts the system in a temporary directory, calls use, and shuts the system down.
func (d *Demo) withSystem(ctx context.Context, use func(context.Context) error) error {
	dir, err := os.MkdirTemp("", "ferry-demo-")
	if err != nil {
		return failure.Wrap(failure.Internal, failure.NotRun, "cannot create a directory for settings", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := d.start(ctx, dir); err != nil {
		return err
	}
	defer d.cluster.Kill()
	if err := use(ctx); err != nil {
		d.printLogs()
		return err
	}
	d.printStep("stopping everything gracefully")
	return d.cluster.Stop(stopTimeout)
}

func (d *Demo) start(ctx context.Context, dir string) error {
	d.printStep("starting %d entry hosts, %d runners and the stand-ins", len(d.profile.Spec.Entries), len(d.profile.Spec.Runners))
	c, err := cluster.Start(ctx, d.binaries, dir, d.profile.Spec)
	if err != nil {
		return err
	}
	d.cluster = c
	if err := c.WaitReady(ctx, readyTimeout); err != nil {
		d.printLogs()
		c.Kill()
		return err
	}
	d.printStep("publishing %s", d.profile.ConfigFile)
	if err := d.publish(ctx); err != nil {
		d.printLogs()
		c.Kill()
		return err
	}
	return nil
}

func (d *Demo) publish(ctx context.Context) error {
	out, err := d.cluster.RunFerryctl(ctx, "publish", d.profile.ConfigFile)
	d.printf("%s", out)
	if err != nil {
		return err
	}
	d.printStep("waiting for a ready copy of every model")
	return d.waitReadyCopies(ctx)
}

func (d *Demo) printStep(format string, args ...any) {
	d.printf("\n== "+format+"\n", args...)
}

// printLogs prints the end of each daemon's output; it is called after a failure.
func (d *Demo) printLogs() {
	const maxBytes = 2000
	for _, p := range d.cluster.Daemons() {
		text := p.Output()
		if len(text) > maxBytes {
			text = text[len(text)-maxBytes:]
		}
		d.printf("-- %s\n%s\n", p.Name, text)
	}
}

func (d *Demo) printAddresses() {
	d.printStep("the system is running; interrupt to stop it")
	for _, e := range d.cluster.Entries {
		d.printf("callers   %s  (%s)\n", e.URL, e.Spec.Name)
	}
	d.printf("operators %s --log-url %s --hosts-url %s status\n",
		filepath.Join(d.binaries.Dir, "ferryctl"), d.cluster.LogURL, d.cluster.HostsURL)
	d.printf("try       curl -N %s/v1/chat/completions -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":32,\"messages\":[{\"role\":\"user\",\"content\":\"Which glazing for a north roof?\"}]}'\n",
		d.cluster.Entries[0].URL, d.cluster.FirstModel(context.Background()))
}

// printf writes to the report. Write errors are ignored: they do not fail the demo.
func (d *Demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format, args...)
}
