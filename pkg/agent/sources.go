package agent

import (
	"context"
	"runtime/debug"
	"time"

	"trefoilferry.example/ferry/pkg/configlog"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/placement"
	"trefoilferry.example/ferry/pkg/stream"
)

const (
	// configStream and placementStream are the streams that every agent follows.
	configStream    = "config"
	placementStream = "placement"
	// readTimeout bounds one round of reads; a paused source must not stop the others.
	readTimeout = 3 * time.Second
	// hostsInterval is the time between two reads of the host list by a root of the relay tree.
	hostsInterval = time.Second
)

// configSource turns the config stream into events.
type configSource struct {
	fold     *configlog.Fold
	follower *stream.Follower
	send     func(Event)
	sent     uint64
	caughtUp bool
}

func (s *configSource) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	// The follower logs failures; the last configuration stays in force.
	_, _ = s.follower.Poll(ctx)
	caughtUp := s.follower.CaughtUp()
	offset := s.follower.Offset()
	if offset == s.sent && caughtUp == s.caughtUp {
		return
	}
	read := ConfigRead{CaughtUp: caughtUp}
	s.follower.View(func() {
		read.Set = s.fold.Set()
		s.sent = s.fold.Offset()
	})
	releaseStartup(caughtUp && !s.caughtUp)
	s.caughtUp = caughtUp
	s.send(read)
}

// releaseStartup returns the memory of the first replay, which is several times the state, to the host.
func releaseStartup(first bool) {
	if first {
		debug.FreeOSMemory()
	}
}

// placementSource turns the placement stream into events.
type placementSource struct {
	fold     *placement.Fold
	follower *stream.Follower
	send     func(Event)
	sent     uint64
	caughtUp bool
}

func (s *placementSource) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	// The follower logs failures; the last records stay in force.
	_, _ = s.follower.Poll(ctx)
	caughtUp := s.follower.CaughtUp()
	offset := s.follower.Offset()
	if offset == s.sent && caughtUp == s.caughtUp {
		return
	}
	read := PlacementRead{CaughtUp: caughtUp}
	s.follower.View(func() {
		read.Placement = s.fold.Snapshot()
		read.Offset = s.fold.Offset()
	})
	s.sent = read.Offset
	releaseStartup(caughtUp && !s.caughtUp)
	s.caughtUp = caughtUp
	s.send(read)
}

// engineSource reads the engine's report and cache events.
type engineSource struct {
	engine   engine.Engine
	prefixes *PrefixIndex
	send     func(Event)
	instance string
	// reports counts the reports that were read.
	reports int
}

// reportsPerCacheRead is the number of reports after which the cache events are read. The engine publishes them late,
// so that a further 250 ms matter less than the call.
const reportsPerCacheRead = 2

func (s *engineSource) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	report, err := s.engine.Report(ctx)
	if err != nil {
		s.send(ReportFailed{Err: err})
		return
	}
	if report.Instance != s.instance {
		s.instance = report.Instance
		s.prefixes.Reset()
	}
	s.send(ReportRead{Report: report})
	s.reports++
	if s.reports%reportsPerCacheRead != 0 {
		return
	}
	events, err := s.engine.CacheEvents(ctx, s.prefixes.Next())
	if err == nil {
		s.prefixes.Apply(events)
	}
}

// checkpointSource renews the checkpoint of a stream.
type checkpointSource struct {
	stream   string
	follower *stream.Follower
	decide   *stream.Checkpointer
	writer   *stream.Writer
	now      func() time.Time
	logger   *eventlog.Logger
}
