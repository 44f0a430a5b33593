package agent

import (
	"time"

	"trefoilferry.example/ferry/pkg/configlog"
	"trefoilferry.example/ferry/pkg/idempotency"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/placement"
	"trefoilferry.example/ferry/pkg/stream"
)

// streams are the log streams that an agent follows.
type streams struct {
	relay           *stream.Relay
	config          *stream.Follower
	placement       *stream.Follower
	configPoller    *poller
	placementPoller *poller
	hostsPoller     *poller
	otherPollers    []*poller
	followers       map[string]*stream.Follower
	// keys manages the idempotency keys of the service; nil for a model engine.
	keys *idempotency.Manager
	now  func() time.Time
}

func newStreams(d *Daemon) *streams {
	clk := d.deps.Clock
	interval := d.deps.Settings.Platform.PollInterval
	s := &streams{followers: map[string]*stream.Follower{}, now: clk.Now}
	s.relay = stream.NewRelay(stream.RelayConfig{
		Self:          d.deps.Settings.Host.Name,
		FailureDomain: d.deps.Settings.Host.FailureDomain,
		Peers:         stream.TwirpPeerClient{Client: d.deps.PeerClient},
		Clock:         clk,
		ConfigOffset:  d.configOffset,
		Lamport:       d.ring.Tick,
		OnUpdate:      s.wakePollers,
	})

	configFold := configlog.NewFold()
	s.config = newFollower(d, configStream, configFold, s.relay)
	config := &configSource{fold: configFold, follower: s.config, send: d.control.Send}
	s.configPoller = newPoller(clk, interval, config.poll)

	placementFold := placement.NewFold()
	s.placement = newFollower(d, placementStream, placementFold, s.relay)
	records := &placementSource{fold: placementFold, follower: s.placement, send: d.control.Send}
	s.placementPoller = newPoller(clk, interval, records.poll)

	s.followers[configStream] = s.config
	s.followers[placementStream] = s.placement
	s.relay.AddStream(configStream, s.config)
	s.relay.AddStream(placementStream, s.placement)
	s.relay.Watcher()
	reader := s.relay.HostReader(d.deps.Hosts, hostsInterval, func(hosts []infra.Host) { d.control.Send(HostsRead{Hosts: hosts}) })
	s.hostsPoller = newPoller(clk, interval, reader.Poll)
	s.otherPollers = []*poller{s.hostsPoller}
	for _, name := range []string{configStream, placementStream} {
		s.otherPollers = append(s.otherPollers, newCheckpointPoller(d, name, s.followers[name]))
	}
	if d.deps.Service != nil {
		s.followKeys(d)
	}
	return s
}

// followKeys adds the stream of the service's idempotency keys.
func (s *streams) followKeys(d *Daemon) {
	settings := d.deps.Settings
	name := idempotency.StreamName(settings.Backend.Service)
	fold := idempotency.NewFold(settings.Keys.Retention)
	follower := newFollower(d, name, fold, nil)
	s.followers[name] = follower
	s.otherPollers = append(s.otherPollers, newCheckpointPoller(d, name, follower))
	log := &countedLog{Log: d.deps.Log, appends: d.deps.Metrics.keyAppends}
	s.keys = idempotency.NewManager(idempotency.ManagerConfig{
		Protocol: idempotency.ProtocolConfig{
			Runner:         settings.Host.Name,
			Incarnation:    d.deps.Incarnation,
			AppendInterval: idempotency.AppendInterval(1),
			ResultWait:     settings.Keys.Wait,
		},
		Fold:         fold,
		Follower:     follower,
		Writer:       stream.NewWriter(log, name, d.deps.Incarnation, d.deps.Clock.Now, d.ring.Tick),
		Clock:        d.deps.Clock,
		PollInterval: settings.Platform.PollInterval,
	})
}

func (s *streams) start() {
	if s.keys != nil {
		s.keys.Start()
	}
}

func (s *streams) close() {
	if s.keys != nil {
		s.keys.Close()
	}
}

// setRunners adjusts the rate of key appends to the number of runners of the service.
func (s *streams) setRunners(n int) {
	if s.keys != nil && n > 0 {
		s.keys.SetRunnerCount(n)
	}
}

// keysDrained reports whether the outcomes of all idempotency keys are in the log.
func (s *streams) keysDrained() bool { return s.keys == nil || s.keys.Drained() }

// wakePollers makes the pollers apply an update that the relay has received from a parent.
func (s *streams) wakePollers() {
	for _, p := range []*poller{s.configPoller, s.placementPoller, s.hostsPoller} {
		p.Wake()
	}
}

// newFollower returns a follower of a stream. With a nil relay it reads the log directly, which is meant for streams that
// few hosts follow.
func newFollower(d *Daemon, name string, fold stream.Fold, relay *stream.Relay) *stream.Follower {
	s := d.deps.Settings
	config := stream.FollowerConfig{
		Stream:       name,
		Fold:         fold,
		Log:          d.deps.Log,
		Peers:        stream.TwirpPeerClient{Client: d.deps.PeerClient},
		Hosts:        func() []infra.Host { return d.streams.relay.Hosts.Hosts() },
		Self:         s.Host.Name,
		PollInterval: s.Platform.PollInterval,
		Now:          d.deps.Clock.Now,
		ConfigOffset: d.configOffset,
		Lamport:      d.ring.Tick,
		Logger:       d.deps.Logger,
	}
	if relay != nil {
		config.IsRoot = relay.IsRoot
		config.Changes = relay.Changes
	}
	return stream.NewFollower(config)
}

// newWriter returns a writer whose ID is the incarnation plus suffix. Every writer of a stream needs a distinct ID,
// because its sequence numbers must be in order.
func newWriter(d *Daemon, name, suffix string) *stream.Writer {
	return stream.NewWriter(d.deps.Log, name, d.deps.Incarnation+suffix, d.deps.Clock.Now, d.ring.Tick)
}

// checkpointInterval is the time between two checks whether a checkpoint is due.
const checkpointInterval = time.Second

func newCheckpointPoller(d *Daemon, name string, f *stream.Follower) *poller {
	source := &checkpointSource{
		stream:       name,
		follower:     f,
		checkpointer: stream.NewCheckpointer(d.deps.Settings.Platform.LogRetention, d.deps.Seed),
		writer:       newWriter(d, name, "/checkpoint"),
		now:          d.deps.Clock.Now,
		logger:       d.deps.Logger,
	}
	return newPoller(d.deps.Clock, checkpointInterval, source.poll)
}

// pollers returns the pollers that must run to follow the streams.
func (s *streams) pollers() []*poller {
	return append([]*poller{s.configPoller, s.placementPoller}, s.otherPollers...)
}

// streamsByName returns the streams that peers may read.
func (s *streams) streamsByName() map[string]Stream {
	out := map[string]Stream{}
	for name, f := range s.followers {
		out[name] = f
	}
	return out
}

// configAge returns the time since the configuration was last known to be up to date with the log; negative if it never
// was.
func (s *streams) configAge() time.Duration { return s.config.Age(s.now()) }
