package bench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// progressInterval is the time between two progress lines.
const progressInterval = 2 * time.Second

// Run is one run of the load against one system.
type Run struct {
	options   Options
	out       io.Writer
	mix       Mix
	catalog   Catalog
	system    *system
	meter     *meter
	counters  *counterCollector
	collector *Collector
}

// Execute starts the system that the options describe, sends the load and returns the result. Progress is written to out.
// Callers must call Result.Check before they use the result.
func Execute(ctx context.Context, options Options, out io.Writer) (*Result, error) {
	r := &Run{options: options, out: out, collector: &Collector{}}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	defer r.system.destroy()
	result, err := r.drive(ctx)
	if err != nil {
		return nil, err
	}
	return result, r.system.writeLogs(r.options.LogDir)
}

func (r *Run) start(ctx context.Context) error {
	profile, mix, err := r.options.deployment()
	if err != nil {
		return err
	}
	r.mix = mix
	if r.catalog, err = ReadCatalog(profile.ConfigFile, profile.Service); err != nil {
		return err
	}
	if err := r.options.Flood.check(r.catalog); err != nil {
		return err
	}
	r.printf("starting %d entry hosts and %d runners\n", len(profile.Spec.Entries), len(profile.Spec.Runners))
	if r.system, err = startSystem(ctx, r.options.BinDir, profile.Spec); err != nil {
		return err
	}
	if err := r.prepare(ctx, profile.ConfigFile); err != nil {
		r.system.destroy()
		return err
	}
	return nil
}

// prepare checks the faults, publishes the configuration and waits until placement has settled.
func (r *Run) prepare(ctx context.Context, configFile string) error {
	var err error
	if r.meter, err = newMeter(r.system.Cluster); err != nil {
		return err
	}
	r.counters = newCounterCollector(r.system.Cluster)
	if err := r.injector().check(r.options.Faults); err != nil {
		return err
	}
	if err := r.system.publishFile(ctx, configFile); err != nil {
		return err
	}
	r.printf("published %s; waiting until placement has settled\n", configFile)
	return r.system.waitSettled(ctx, r.catalog.modelNames())
}

// window holds the readings at the start and the end of the measured part of a run.
type window struct {
	usageFrom readings
	usageTo   readings
	movesFrom Moves
	movesTo   Moves
}

// drive sends the load while it injects the faults, and returns the result.
func (r *Run) drive(ctx context.Context) (*Result, error) {
	load := Load{Seed: r.options.Seed, Rate: r.options.Rate, Duration: r.options.Duration, Mix: r.mix, Catalog: r.catalog}
	load.Flood = r.options.Flood
	load.Flood.Start = r.options.Warmup
	arrivals := Schedule(load)
	g := &generator{sender: NewSender(r.system.entryURLs(), time.Now()), collector: r.collector}
	defer g.sender.Close()
	r.printf("sending %d requests in %v\n", len(arrivals), load.Duration)
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() { r.injector().run(background, g.sender.Start, r.options.Faults) })
	tasks.Go(func() { r.progress(background, g.sender.Start) })
	measured := make(chan window, 1)
	go func() { measured <- r.measure(ctx, g.sender.Start) }()
	g.run(ctx, arrivals)
	g.wait()
	w := <-measured
	cancel()
	tasks.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return r.result(ctx, w), nil
}

// measure takes the readings at the start and at the end of the measured window. It returns early if ctx ends.
func (r *Run) measure(ctx context.Context, start time.Time) window {
	var w window
	if !sleepUntil(ctx, start.Add(r.options.Warmup)) {
		return w
	}
	w.usageFrom, w.movesFrom = r.meter.read(ctx), r.counters.read(ctx).Moves
	if !sleepUntil(ctx, start.Add(r.options.Duration)) {
		return w
	}
	w.usageTo, w.movesTo = r.meter.read(ctx), r.counters.read(ctx).Moves
	return w
}

// result computes the result from the observations, the counters and the readings.
func (r *Run) result(ctx context.Context, w window) *Result {
	all := r.collector.Observations()
	observations := measured(all, r.options.Warmup)
	counters := r.counters.read(ctx)
	o := r.options
	out := &Result{Profile: o.Profile, Policy: o.Policy, Rate: o.Rate, Duration: o.Duration, Warmup: o.Warmup, Seed: o.Seed}
	for _, f := range o.Faults {
		out.Faults = append(out.Faults, f.String())
	}
	out.Accelerators = r.system.accelerators()
	out.Requests = len(observations)
	out.Attainment = attainmentOf(observations, out.Accelerators, (o.Duration - o.Warmup).Seconds())
	out.Flood = o.Flood.Member
	out.OtherMembers = otherMembersShare(observations, o.Flood.Member)
	out.AttainmentOverTime = attainmentOverTime(observations, o.Duration)
	out.fillTimes(observations)
	out.fillFailures(observations)
	out.Failed = failedRequests(observations, counters)
	out.Moves = w.movesTo.minus(w.movesFrom)
	out.CrossRegion = crossRegionTraffic(observations, counters, r.system.entryRegions(), r.system.runnerRegions())
	out.Breaches = breachesOf(all, counters)
	out.Usage = usageBetween(w.usageFrom, w.usageTo)
	out.Lateness = latenessOf(sendDelays(all))
	out.observations = observations
	return out
}

func (r *Run) injector() *injector {
	return &injector{cluster: r.system.Cluster, counters: r.counters, printf: r.printf}
}

// progress prints a progress line every progressInterval until ctx ends.
func (r *Run) progress(ctx context.Context, start time.Time) {
	for at := progressInterval; sleepUntil(ctx, start.Add(at)); at += progressInterval {
		sent, done, failed := r.collector.Progress()
		r.printf("%4.0fs  sent %d, in progress %d, answered %d, failed %d\n", at.Seconds(), sent, sent-done, done, failed)
	}
}

// printf writes a progress line. Write errors are ignored: they do not fail the run.
func (r *Run) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, format, args...)
}
