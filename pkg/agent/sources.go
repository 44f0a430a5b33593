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
	// readTimeout is the timeout of one poll, so that a source that hangs cannot block its poller.
	readTimeout = 3 * time.Second
	// hostsInterval is the time between two reads of the host list by an agent at a root of the relay tree.
	hostsInterval = time.Second
)

// configSource reads the config stream and sends ConfigRead events.
type configSource struct {
	fold       *configlog.Fold
	follower   *stream.Follower
	send       func(Event)
	sentOffset uint64
	caughtUp   bool
}

func (s *configSource) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	// The follower logs the failure; the last configuration stays in use.
	_, _ = s.follower.Poll(ctx)
	caughtUp := s.follower.CaughtUp()
	offset := s.follower.Offset()
	if offset == s.sentOffset && caughtUp == s.caughtUp {
		return
	}
	read := ConfigRead{CaughtUp: caughtUp}
	s.follower.View(func() {
		read.Config = s.fold.Set()
		s.sentOffset = s.fold.Offset()
	})
	freeReplayMemory(caughtUp && !s.caughtUp)
	s.caughtUp = caughtUp
	s.send(read)
}

// freeReplayMemory returns unused memory to the operating system after the first replay of a stream, which needs
// several times the memory of the resulting state.
func freeReplayMemory(first bool) {
	if first {
		debug.FreeOSMemory()
	}
}

// placementSource reads the placement stream and sends PlacementRead events.
type placementSource struct {
	fold       *placement.Fold
	follower   *stream.Follower
	send       func(Event)
	sentOffset uint64
	caughtUp   bool
}

func (s *placementSource) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	// The follower logs the failure; the last placement state stays in use.
	_, _ = s.follower.Poll(ctx)
	caughtUp := s.follower.CaughtUp()
	offset := s.follower.Offset()
	if offset == s.sentOffset && caughtUp == s.caughtUp {
		return
	}
	read := PlacementRead{CaughtUp: caughtUp}
	s.follower.View(func() {
		read.Placement = s.fold.Snapshot()
		read.Offset = s.fold.Offset()
	})
	s.sentOffset = read.Offset
	freeReplayMemory(caughtUp && !s.caughtUp)
	s.caughtUp = caughtUp
	s.send(read)
}

// engineSource reads the engine's report and cache events, and sends ReportRead and ReportFailed events.
type engineSource struct {
	engine   engine.Engine
	prefixes *PrefixIndex
	send     func(Event)
	instance string
	// reports is the number of reports read so far.
	reports int
}

// reportsPerCacheRead is the number of reports per read of the cache events. The engine publishes these with a delay,
// so another 250 ms of delay matter less than the cost of the call.
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
	events, err := s.engine.CacheEvents(ctx, s.prefixes.NextSeq())
	if err == nil {
		s.prefixes.Apply(events)
	}
}

// checkpointSource appends checkpoints to a stream.
type checkpointSource struct {
	stream       string
	follower     *stream.Follower
	checkpointer *stream.Checkpointer
	writer       *stream.Writer
	now          func() time.Time
	logger       *eventlog.Logger
}
