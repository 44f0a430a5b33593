package entry

import (
	"context"
	"net/http"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/configlog"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/object"
	"trefoilferry.example/ferry/pkg/placement"
	"trefoilferry.example/ferry/pkg/stream"
	"trefoilferry.example/ferry/pkg/timeline"
)

// Log streams that an entry host follows.
const (
	streamConfig    = configlog.Stream
	streamPlacement = "placement"
)

// SourcesConfig holds the dependencies of Sources; all are required.
type SourcesConfig struct {
	Settings      *Settings
	Incarnation   string
	Snapshots     *Snapshots
	Loop          *ControlLoop
	Log           infra.Log
	Hosts         infra.HostList
	ControlClient *http.Client
	Clock         clock.Clock
	Ring          *timeline.Ring
	Events        *eventlog.Logger
	Seed          uint64
}

// Sources read the log streams and the host list, and send their state to the control loop.
type Sources struct {
	relay     *stream.Relay
	followers map[string]*stream.Follower
	pollers   []*poller
}

// NewSources returns the sources of an entry host.
func NewSources(p SourcesConfig) *Sources {
	s := &Sources{followers: map[string]*stream.Follower{}}
	s.relay = stream.NewRelay(stream.RelayConfig{
		Self:          p.Settings.Host.Name,
		FailureDomain: p.Settings.Host.FailureDomain,
		ForceRoot:     !p.Settings.Platform.UseRelays,
		Peers:         p.peers(),
		Clock:         p.Clock,
		ConfigOffset:  p.configOffset,
		Lamport:       p.Ring.Tick,
		OnUpdate:      s.wakePollers,
	})
	s.addConfig(p)
	s.addPlacement(p)
	s.relay.Watcher()
	s.addHosts(p)
	return s
}

func (s *Sources) addConfig(p SourcesConfig) {
	fold := configlog.NewFold()
	source := p.newStreamSource(streamConfig, fold, s.relay)
	recorder := &configRecorder{ring: p.Ring, log: p.Events}
	source.publish = func(ctx context.Context) {
		caughtUp := source.follower.CaughtUp()
		var set *object.Set
		source.follower.View(func() {
			recorder.record(fold.History(), !p.Snapshots.Load().CaughtUp)
			set = fold.Set()
		})
		p.Loop.Send(ctx, ConfigRead{Config: set, Offset: set.Offset, CaughtUp: caughtUp})
	}
	s.addStream(p, source)
}

func (s *Sources) addPlacement(p SourcesConfig) {
	fold := placement.NewFold()
	source := p.newStreamSource(streamPlacement, fold, s.relay)
	source.publish = func(ctx context.Context) {
		caughtUp := source.follower.CaughtUp()
		var snapshot *placement.Snapshot
		source.follower.View(func() { snapshot = fold.Snapshot() })
		p.Loop.Send(ctx, RoutesRead{Routes: NewRouteTable(snapshot), Offset: snapshot.Offset(), CaughtUp: caughtUp})
	}
	s.addStream(p, source)
}

func (s *Sources) addStream(p SourcesConfig, source *streamSource) {
	s.followers[source.name] = source.follower
	s.relay.AddStream(source.name, source.follower)
	s.addPoller(p, source.read)
}

func (s *Sources) addPoller(p SourcesConfig, read func(context.Context)) {
	s.pollers = append(s.pollers, newPoller(read, p.Settings.Platform.PollInterval, p.Clock))
}

func (s *Sources) addHosts(p SourcesConfig) {
	publish := func(hosts []infra.Host) { p.Loop.Send(context.Background(), HostsRead{Hosts: hosts}) }
	reader := s.relay.HostReader(p.Hosts, p.Settings.Platform.HostsInterval, publish)
	s.addPoller(p, reader.Poll)
}

// wakePollers triggers a read of all sources, which publishes what the relay has received from a parent.
func (s *Sources) wakePollers() {
	for _, p := range s.pollers {
		p.wake()
	}
}

// expectConfig triggers a read of the configuration stream, which another process has read up to offset.
func (s *Sources) expectConfig(offset uint64) {
	s.followers[streamConfig].Expect(offset)
	s.wakePollers()
}

func (p SourcesConfig) configOffset() uint64 { return p.Snapshots.Load().ConfigOffset }

func (p SourcesConfig) peers() observingPeers {
	return observingPeers{peers: stream.TwirpPeerClient{Client: p.ControlClient}, ring: p.Ring, reporter: p.Loop}
}

func (p SourcesConfig) newStreamSource(name string, fold stream.Fold, relay *stream.Relay) *streamSource {
	follower := stream.NewFollower(stream.FollowerConfig{
		Stream:       name,
		Fold:         fold,
		Log:          p.Log,
		Peers:        p.peers(),
		Hosts:        relay.Hosts.Hosts,
		Self:         p.Settings.Host.Name,
		IsRoot:       relay.IsRoot,
		Changes:      relay.Changes,
		PollInterval: p.Settings.Platform.PollInterval,
		Now:          p.Clock.Now,
		ConfigOffset: p.configOffset,
		Lamport:      p.Ring.Tick,
		Logger:       p.Events,
	})
	return &streamSource{
		name:         name,
		follower:     follower,
		checkpointer: stream.NewCheckpointer(p.Settings.Platform.LogRetention, p.Seed),
		writer:       stream.NewWriter(p.Log, name, p.Incarnation+"/"+name, p.Clock.Now, p.Ring.Tick),
		clock:        p.Clock,
		ring:         p.Ring,
		log:          p.Events,
	}
}
