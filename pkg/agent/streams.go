package agent

import (
	"time"

	"trefoilferry.example/ferry/pkg/configlog"
	"trefoilferry.example/ferry/pkg/placement"
	"trefoilferry.example/ferry/pkg/stream"
)

// streams are the log streams that an agent follows.
type streams struct {
	config          *stream.Follower
	placement       *stream.Follower
	configPoller    *poller
	placementPoller *poller
	others          []*poller
	followers       map[string]*stream.Follower
	now             func() time.Time
}

func newStreams(d *Daemon) *streams {
	clk := d.deps.Clock
	interval := d.deps.Settings.Platform.PollInterval
	hosts := &hostSource{list: d.deps.Hosts, send: d.control.Send}
	s := &streams{followers: map[string]*stream.Follower{}, now: clk.Now}

	configFold := configlog.NewFold()
	s.config = newFollower(d, configStream, configFold, hosts)
	config := &configSource{fold: configFold, follower: s.config, send: d.control.Send}
	s.configPoller = newPoller(clk, interval, config.poll)

	placementFold := placement.NewFold()
	s.placement = newFollower(d, placementStream, placementFold, hosts)
	records := &placementSource{fold: placementFold, follower: s.placement, send: d.control.Send}
	s.placementPoller = newPoller(clk, interval, records.poll)

	s.followers[configStream] = s.config
	s.followers[placementStream] = s.placement
	s.others = []*poller{newPoller(clk, hostsInterval, hosts.poll)}
	for _, name := range []string{configStream, placementStream} {
		s.others = append(s.others, newCheckpointPoller(d, name, s.followers[name]))
	}
	return s
}

func newFollower(d *Daemon, name string, fold stream.Fold, hosts *hostSource) *stream.Follower {
	s := d.deps.Settings
	return stream.NewFollower(stream.FollowerConfig{
		Stream:        name,
		Fold:          fold,
		Log:           d.deps.Log,
		Peers:         stream.TwirpPeers{Client: d.deps.Client},
		Hosts:         hosts.Hosts,
		Self:          s.Host.Name,
		FailureDomain: s.Host.FailureDomain,
		UseRelays:     true,
		PollInterval:  s.Platform.PollInterval,
		Now:           d.deps.Clock.Now,
		ConfigOffset:  d.configOffset,
		Lamport:       d.ring.Tick,
		Logger:        d.deps.Logger,
	})
}

// newWriter returns a writer with an id of its own, so that its sequence numbers stay in order.
func newWriter(d *Daemon, name, suffix string) *stream.Writer {
	return stream.NewWriter(d.deps.Log, name, d.deps.Incarnation+suffix, d.deps.Clock.Now, d.ring.Tick)
}

// checkpointInterval is the time between two looks at whether a checkpoint is due.
const checkpointInterval = time.Second

func newCheckpointPoller(d *Daemon, name string, f *stream.Follower) *poller {
	source := &checkpointSource{
		stream:   name,
		follower: f,
		decide:   stream.NewCheckpointer(d.deps.Settings.Platform.LogRetention, d.deps.Seed),
		writer:   newWriter(d, name, "/checkpoint"),
		now:      d.deps.Clock.Now,
		logger:   d.deps.Logger,
	}
	return newPoller(d.deps.Clock, checkpointInterval, source.poll)
}

// pollers returns everything that must run for the streams to be followed.
func (s *streams) pollers() []*poller {
	return append([]*poller{s.configPoller, s.placementPoller}, s.others...)
}

// served returns the streams that peers may read.
func (s *streams) served() map[string]Stream {
	out := map[string]Stream{}
	for name, f := range s.followers {
		out[name] = f
	}
	return out
}

// configAge returns the time since the configuration was known to equal the log; negative if it never was.
func (s *streams) configAge() time.Duration { return s.config.Age(s.now()) }
