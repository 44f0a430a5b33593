// Package demo runs the Directorate's deployment on loopback, sends requests through it and checks the answers.
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

// Limits of the steps.
const (
	readyWait = 15 * time.Second
	placeWait = 40 * time.Second
	stopWait  = 15 * time.Second
)

// Loads of the demo's weight store are faster than the Directorate's, so that the demo ends within a minute.
const (
	storeLoadsPerSecond = 20
	storeConcurrent     = 16
	storeLoadTime       = 100 * time.Millisecond
)

// Demo is one run.
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
	profile.Spec.Store.Concurrent = storeConcurrent
	profile.Spec.Store.LoadTime = storeLoadTime
	return &Demo{out: out, binaries: cluster.Binaries{Dir: binDir}, profile: profile}
}

// Run starts the system, sends the requests, prints what happened and stops everything gracefully.
func (d *Demo) Run(ctx context.Context) error {
	return d.with(ctx, d.exercise)
}

// Up starts the system, prints its addresses and keeps it running until ctx ends.
func (d *Demo) Up(ctx context.Context) error {
	return d.with(ctx, func(ctx context.Context) error {
		d.printAddresses()
		<-ctx.Done()
		return nil
	})
}

func (d *Demo) with(ctx context.Context, use func(context.Context) error) error {
	dir, err := os.MkdirTemp("", "ferry-demo-")
	if err != nil {
		return failure.Wrap(failure.Internal, failure.NotRun, "no directory for settings", err)
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
	d.step("stopping everything gracefully")
	return d.cluster.Stop(stopWait)
}

func (d *Demo) start(ctx context.Context, dir string) error {
	d.step("starting %d entry hosts, %d runners and the stand-ins", len(d.profile.Spec.Entries), len(d.profile.Spec.Runners))
	c, err := cluster.Start(ctx, d.binaries, dir, d.profile.Spec)
	if err != nil {
		return err
	}
	d.cluster = c
	if err := c.WaitReady(ctx, readyWait); err != nil {
		d.printLogs()
		c.Kill()
		return err
	}
	d.step("publishing %s", d.profile.ConfigFile)
	if err := d.publish(ctx); err != nil {
		d.printLogs()
		c.Kill()
		return err
	}
	return nil
}

func (d *Demo) publish(ctx context.Context) error {
	out, err := d.cluster.Ferryctl(ctx, "publish", d.profile.ConfigFile)
	d.printf("%s", out)
	if err != nil {
		return err
	}
	d.step("waiting for a ready copy of every model")
	return d.waitPlaced(ctx)
}

func (d *Demo) step(format string, args ...any) {
	d.printf("\n== "+format+"\n", args...)
}

// printLogs shows the end of each daemon's output after a failure.
func (d *Demo) printLogs() {
	const shown = 2000
	for _, p := range d.cluster.Daemons() {
		text := p.Output()
		if len(text) > shown {
			text = text[len(text)-shown:]
		}
		d.printf("-- %s\n%s\n", p.Name, text)
	}
}

func (d *Demo) printAddresses() {
	d.step("the system is running; interrupt to stop it")
	for _, e := range d.cluster.Entries {
		d.printf("callers   %s  (%s)\n", e.URL, e.Spec.Name)
	}
	d.printf("operators %s --log-url %s --hosts-url %s status\n",
		filepath.Join(d.binaries.Dir, "ferryctl"), d.cluster.LogURL, d.cluster.HostsURL)
	d.printf("try       curl -N %s/v1/chat/completions -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":32,\"messages\":[{\"role\":\"user\",\"content\":\"Which glazing for a north roof?\"}]}'\n",
		d.cluster.Entries[0].URL, d.cluster.FirstModel(context.Background()))
}

// printf writes to the report; a report that cannot be written does not fail the demo.
func (d *Demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format, args...)
}
