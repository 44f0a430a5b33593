package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// maxProcesses is the largest number of processes of one system.
	maxProcesses = 200
	// slopeSettleDelay is the delay between settled placement and the measurement, so that start-up costs are not
	// measured.
	slopeSettleDelay = 2 * time.Second
)

// Slope measures the resource usage of daemons while one dimension of the system or its load varies.
type Slope struct {
	Dimension Dimension
	Sizes     []int
	Window    time.Duration
	Seed      uint64
	BinDir    string
}

// Measure starts and measures one system per size. Progress is written to out.
func (s Slope) Measure(ctx context.Context, out io.Writer) (*SlopeReport, error) {
	report := &SlopeReport{Dimension: s.Dimension}
	for _, n := range s.Sizes {
		_, _ = fmt.Fprintf(out, "%s = %d\n", s.Dimension, n)
		point, err := s.measurePoint(ctx, n)
		if err != nil {
			return nil, err
		}
		report.Points = append(report.Points, point)
	}
	report.fitLines()
	return report, nil
}

func (s Slope) measurePoint(ctx context.Context, n int) (SlopePoint, error) {
	size, ok := sizeOf(s.Dimension, n)
	if !ok || n < 0 || size.runners < slopeDomains || size.entries < 1 || size.processes() > maxProcesses {
		return SlopePoint{}, failure.New(failure.SettingsInvalid, failure.NotRun, fmt.Sprintf("cannot measure %s = %d: unknown dimension or size out of range", s.Dimension, n))
	}
	system, err := startSystem(ctx, s.BinDir, size.spec())
	if err != nil {
		return SlopePoint{}, err
	}
	defer system.destroy()
	if err := system.Publish(ctx, size.config()); err != nil {
		return SlopePoint{}, err
	}
	if err := system.waitSettled(ctx, size.catalog().modelNames()); err != nil {
		return SlopePoint{}, err
	}
	if !sleepUntil(ctx, time.Now().Add(slopeSettleDelay)) {
		return SlopePoint{}, ctx.Err()
	}
	point, err := s.measure(ctx, system, size)
	point.Size = n
	return point, err
}

func (s Slope) measure(ctx context.Context, system *system, size slopeSize) (SlopePoint, error) {
	m, err := newMeter(system.Cluster)
	if err != nil {
		return SlopePoint{}, err
	}
	from := m.read(ctx)
	operations, err := s.drive(ctx, system, size)
	if err != nil {
		return SlopePoint{}, err
	}
	usage := usageBetween(from, m.read(ctx))
	return SlopePoint{
		Entry:               usage.Mean(RoleEntry),
		Agent:               usage.Mean(RoleAgent),
		LogAppendsPerSecond: usage.LogAppendsPerSecond,
		LogReadsPerSecond:   usage.LogReadsPerSecond,
		MachineBusy:         usage.MachineBusy,
		Operations:          operations,
	}, nil
}

// drive applies the load of the size, if any, for the window and returns the number of published changes or of complete
// responses.
func (s Slope) drive(ctx context.Context, system *system, size slopeSize) (int, error) {
	switch {
	case size.changes > 0:
		return s.publishChanges(ctx, system, size.changes)
	case size.requests > 0:
		return s.sendRequests(ctx, system, size)
	}
	if !sleepUntil(ctx, time.Now().Add(s.Window)) {
		return 0, ctx.Err()
	}
	return 0, nil
}

// publishChanges publishes change sets at regular intervals and returns their number.
func (s Slope) publishChanges(ctx context.Context, system *system, perMinute int) (int, error) {
	start := time.Now()
	pause := time.Minute / time.Duration(perMinute)
	published := 0
	for at := time.Duration(0); at < s.Window; at += pause {
		if !sleepUntil(ctx, start.Add(at)) {
			return published, ctx.Err()
		}
		if err := system.Publish(ctx, change(published)); err != nil {
			return published, err
		}
		published++
	}
	sleepUntil(ctx, start.Add(s.Window))
	return published, ctx.Err()
}

// sendRequests sends short questions and returns the number of complete responses. It fails with code GeneratorLate if
// sending fell behind the scheduled arrivals.
func (s Slope) sendRequests(ctx context.Context, system *system, size slopeSize) (int, error) {
	mix := DirectorateMix()
	mix.Shares = map[Class]float64{Question: 1}
	arrivals := Schedule(Load{Seed: s.Seed, Rate: float64(size.requests), Duration: s.Window, Mix: mix, Catalog: size.catalog()})
	g := &generator{sender: NewSender(system.entryURLs(), time.Now()), collector: &Collector{}}
	defer g.sender.Close()
	g.run(ctx, arrivals)
	g.wait()
	all := g.collector.Observations()
	complete := 0
	for _, o := range all {
		if o.Complete {
			complete++
		}
	}
	return complete, latenessOf(sendDelays(all)).Check()
}
