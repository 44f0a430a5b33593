package entry

import (
	"context"
	"net/http"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/configlog"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/placement"
	"trefoilferry.example/ferry/pkg/platform"
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
	Log         platform.Log
	Hosts       platform.HostList
	Control     *http.Client
	Clock       clock.Clock
	Ring        *timeline.Ring
	Events      *eventlog.Logger
	Seed        uint64
}

// Sources feed the control loop from log and host list.
type Sources struct {
	followers map[string]*stream.Follower
	pollers   []*poller
}

// NewSources returns the sources of an entry host.
func NewSources(p SourceParts) *Sources {
	s := &Sources{followers: map[string]*stream.Follower{}}
	s.addConfig(p)
	s.addPlacement(p)
	s.addHosts(p)
	return s
}

func (s *Sources) addConfig(p SourceParts) {
	fold := configlog.NewFold()
	source := p.source(streamConfig, fold)
	notes := &configNotes{ring: p.Ring, log: p.Events}
	source.publish = func(ctx context.Context) {
		complete := source.follower.CaughtUp()
		notes.note(fold.History(), !p.Snapshots.Load().CaughtUp)
		set := fold.Set()
		p.Loop.Send(ctx, ConfigRead{Config: set, Offset: set.Offset, CaughtUp: complete})
	}
	s.add(p, source, p.Loop.Poke())
}

func (s *Sources) addPlacement(p SourceParts) {
	fold := placement.NewFold()
	source := p.source(streamPlacement, fold)
	source.publish = func(ctx context.Context) {
		complete := source.follower.CaughtUp()
		snapshot := fold.Snapshot()
		p.Loop.Send(ctx, RoutesRead{Routes: NewRoutes(snapshot), Offset: snapshot.Offset(), CaughtUp: complete})
	}
	s.add(p, source, nil)
}

func (s *Sources) add(p SourceParts, source *streamSource, poke <-chan struct{}) {
	s.followers[source.name] = source.follower
	s.pollers = append(s.pollers, &poller{read: source.read, interval: p.Settings.Platform.PollInterval, poke: poke, clock: p.Clock})
}

func (s *Sources) addHosts(p SourceParts) {
	read := func(ctx context.Context) {
		hosts, err := p.Hosts.Hosts(ctx)
		if err != nil {
			// The last list stays in force.
			return
		}
		p.Loop.Send(ctx, HostsRead{Hosts: hosts})
	}
	s.pollers = append(s.pollers, &poller{read: read, interval: p.Settings.Platform.HostsInterval, clock: p.Clock})
}

func (p SourceParts) source(name string, fold stream.Fold) *streamSource {
	follower := stream.NewFollower(stream.FollowerConfig{
		Stream:        name,
		Fold:          fold,
		Log:           p.Log,
		Peers:         observedPeers{peers: stream.TwirpPeers{Client: p.Control}, ring: p.Ring, reporter: p.Loop},
		Hosts:         func() []platform.Host { return p.Snapshots.Load().Hosts },
		Self:          p.Settings.Host.Name,
		FailureDomain: p.Settings.Host.FailureDomain,
		UseRelays:     p.Settings.Platform.UseRelays,
		PollInterval:  p.Settings.Platform.PollInterval,
		Now:           p.Clock.Now,
		ConfigOffset:  func() uint64 { return p.Snapshots.Load().ConfigOffset },
		Lamport:       p.Ring.Tick,
		Logger:        p.Events,
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
