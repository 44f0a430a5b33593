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

// Streams that an entry host follows.
const (
	streamConfig    = configlog.Stream
	streamPlacement = "placement"
)

// SourceParts are what the sources of the control state need.
type SourceParts struct {
	Settings    *Settings
	Incarnation string
	Snapshots   *Snapshots
	Loop        *ControlLoop
	Log         infra.Log
	Hosts       infra.HostList
	Control     *http.Client
	Clock       clock.Clock
	Ring        *timeline.Ring
	Events      *eventlog.Logger
	Seed        uint64
}

// Sources feed the control loop from log and host list.
type Sources struct {
	relay     *stream.Relay
	followers map[string]*stream.Follower
	pollers   []*poller
}

// NewSources returns the sources of an entry host.
func NewSources(p SourceParts) *Sources {
	s := &Sources{followers: map[string]*stream.Follower{}}
	s.relay = stream.NewRelay(stream.RelayConfig{
		Self:          p.Settings.Host.Name,
		FailureDomain: p.Settings.Host.FailureDomain,
		Alone:         !p.Settings.Platform.UseRelays,
		Peers:         p.peers(),
		Clock:         p.Clock,
		ConfigOffset:  p.configOffset,
		Lamport:       p.Ring.Tick,
		Updated:       s.updated,
	})
	s.addConfig(p)
	s.addPlacement(p)
	s.relay.Watcher()
	s.addHosts(p)
	return s
}

func (s *Sources) addConfig(p SourceParts) {
	fold := configlog.NewFold()
	source := p.source(streamConfig, fold, s.relay)
	notes := &configNotes{ring: p.Ring, log: p.Events}
	source.publish = func(ctx context.Context) {
		complete := source.follower.CaughtUp()
		var set *object.Set
		source.follower.View(func() {
			notes.note(fold.History(), !p.Snapshots.Load().CaughtUp)
			set = fold.Set()
		})
		p.Loop.Send(ctx, ConfigRead{Config: set, Offset: set.Offset, CaughtUp: complete})
	}
	s.add(p, source)
}

func (s *Sources) addPlacement(p SourceParts) {
	fold := placement.NewFold()
	source := p.source(streamPlacement, fold, s.relay)
	source.publish = func(ctx context.Context) {
		complete := source.follower.CaughtUp()
		var snapshot *placement.Snapshot
		source.follower.View(func() { snapshot = fold.Snapshot() })
		p.Loop.Send(ctx, RoutesRead{Routes: NewRoutes(snapshot), Offset: snapshot.Offset(), CaughtUp: complete})
	}
	s.add(p, source)
}

func (s *Sources) add(p SourceParts, source *streamSource) {
	s.followers[source.name] = source.follower
	s.relay.Add(source.name, source.follower)
	s.poll(p, source.read)
}

func (s *Sources) poll(p SourceParts, read func(context.Context)) {
	s.pollers = append(s.pollers, newPoller(read, p.Settings.Platform.PollInterval, p.Clock))
}

func (s *Sources) addHosts(p SourceParts) {
	publish := func(hosts []infra.Host) { p.Loop.Send(context.Background(), HostsRead{Hosts: hosts}) }
	reader := s.relay.Reader(p.Hosts, p.Settings.Platform.HostsInterval, publish)
	s.poll(p, reader.Poll)
}

// updated publishes what a parent has brought.
func (s *Sources) updated() {
	for _, p := range s.pollers {
		p.wake()
	}
}

// expect makes sure that the configuration at an offset is read soon.
func (s *Sources) expect(offset uint64) {
	s.followers[streamConfig].Expect(offset)
	s.updated()
}

func (p SourceParts) configOffset() uint64 { return p.Snapshots.Load().ConfigOffset }

func (p SourceParts) peers() observedPeers {
	return observedPeers{peers: stream.TwirpPeers{Client: p.Control}, ring: p.Ring, reporter: p.Loop}
}

func (p SourceParts) source(name string, fold stream.Fold, relay *stream.Relay) *streamSource {
	follower := stream.NewFollower(stream.FollowerConfig{
		Stream:       name,
		Fold:         fold,
		Log:          p.Log,
		Peers:        p.peers(),
		Hosts:        relay.Hosts.Hosts,
		Self:         p.Settings.Host.Name,
		Root:         relay.Root,
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
