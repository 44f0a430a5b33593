package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/pkg/allowance"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/keyring"
)

const (
	// controlQueueLen is the number of events that are buffered for the control loop; senders block when it is full.
	controlQueueLen = 64
	// expiryInterval is how often servers whose grace period has ended are dropped.
	expiryInterval = 200 * time.Millisecond
)

// Control owns the routing state of the daemon (configuration, servers and placement) in one goroutine and publishes
// immutable views of it.
type Control struct {
	log      *eventlog.Logger
	timing   PollTiming
	registry *fleet.Registry
	events   chan controlEvent
	view     atomic.Pointer[View]
	// relayActive is set while another daemon holds the lease and relays what it reads from the store.
	relayActive atomic.Bool
	// storeUnavailable is set while reads of the configuration from the store fail.
	storeUnavailable atomic.Bool
	// listWanted is set when removals of a complete relayed list were not applied, because the daemon's own list is newer.
	listWanted atomic.Bool
	// keyLimit is the age of the configuration from which no keys are accepted; 0 for none.
	keyLimit time.Duration
	// uptime returns the time since the host booted, including time spent suspended.
	uptime func() time.Duration
	// allowances get the limits of each new configuration; nil for none.
	allowances *allowance.Table
	// fastPollUntil is the end of the fast polling of the server list, in Unix nanoseconds.
	fastPollUntil atomic.Int64
}

// NewControl returns a Control with an empty view. Run or Follow starts its loop.
func NewControl(log *eventlog.Logger, timing PollTiming) *Control {
	c := &Control{log: log, timing: timing, keyLimit: keyring.LimitFor(timing.RevokeBound), uptime: clock.Uptime, registry: fleet.NewRegistry(), events: make(chan controlEvent, controlQueueLen)}
	c.view.Store(&View{Changed: make(chan struct{})})
	return c
}

// ShareAllowances makes the limits of each configuration those of the table. It is called before the loop starts.
func (c *Control) ShareAllowances(t *allowance.Table) { c.allowances = t }

// View returns the latest view.
func (c *Control) View() *View { return c.view.Load() }

// SetRelayActive sets whether another daemon holds the lease and relays changes of the store to this one.
func (c *Control) SetRelayActive(active bool) { c.relayActive.Store(active) }

// TakeListWanted reports whether the lease holder must be asked for its complete list again, since the last call: removals
// that follow from an older list than the daemon's own were not applied.
func (c *Control) TakeListWanted() bool { return c.listWanted.Swap(false) }

// PollServersFastUntil makes the daemon poll the server list more often until the given time, because servers are
// expected to return.
func (c *Control) PollServersFastUntil(until time.Time) { c.fastPollUntil.Store(until.UnixNano()) }

// serverPollInterval returns the time between two reads of the server list.
func (c *Control) serverPollInterval(now time.Time) time.Duration {
	if now.UnixNano() < c.fastPollUntil.Load() {
		return c.timing.ServerInterval / fastPollFactor
	}
	return c.timing.ServerInterval
}

// ApplyRelayUpdate passes an update from the lease holder to the loop.
func (c *Control) ApplyRelayUpdate(ctx context.Context, u *RelayUpdate) {
	c.send(ctx, controlEvent{relay: u})
}

// SetPlacement passes a new placement to the loop.
func (c *Control) SetPlacement(ctx context.Context, p *Placement) {
	c.send(ctx, controlEvent{placement: p})
}

// send queues an event for the loop; it blocks while the queue is full and ctx has not ended.
func (c *Control) send(ctx context.Context, e controlEvent) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// Run applies events until ctx ends.
func (c *Control) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	keysTooOld := false
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			c.apply(e, time.Now())
		case <-ticker.C:
			keysTooOld = c.logKeyAge(keysTooOld)
			now := time.Now()
			if c.registry.Expire(now) {
				c.publishServers(c.View().ServersAt, c.View().ServersKnown)
			}
		}
	}
}

func (c *Control) apply(e controlEvent, now time.Time) {
	switch {
	case e.config != nil:
		if inForce := c.configVersion(); e.config.Version < inForce {
			c.log.Log(eventlog.StoredConfigOlder, "stored", e.config.Version, "in_force", inForce)
		}
		c.applyConfig(e.config, e.configAt)
		c.proveConfig(e.configProvenAt)
	case e.servers != nil:
		c.applyServers(e.servers, now)
	case e.relay != nil:
		c.applyRelay(e.relay, now)
	case !e.configAt.IsZero():
		c.confirm(time.Time{}, e.configAt)
		c.proveConfig(e.configProvenAt)
	case e.placement != nil:
		next := *c.View()
		next.Placement, next.PlacementAt = e.placement, now
		c.publish(&next)
	}
}

// applyConfig publishes a configuration if its version is newer than the current one. at is when it was known to be
// current.
func (c *Control) applyConfig(config *fleet.Config, at time.Time) {
	current := c.View()
	if current.Config != nil && config.Version <= current.Config.Version {
		c.confirm(time.Time{}, at)
		return
	}
	next := *current
	next.Config, next.ConfigAt, next.Keys = config, at, keyring.New(config)
	if c.allowances != nil {
		c.allowances.SetLimits(AllowanceLimits(config, c.timing.Quotas))
	}
	c.publish(&next)
	c.log.Log(eventlog.ConfigApplied, "version", config.Version, "routes", len(config.Routes), "services", len(config.Services))
}

func (c *Control) applyServers(e *serverEvent, now time.Time) {
	before := c.registry.Version()
	if e.changes.Full {
		list := make([]fleet.Server, 0, len(e.changes.Changes))
		for i := range e.changes.Changes {
			if !e.changes.Changes[i].Removed {
				list = append(list, e.changes.Changes[i].Server)
			}
		}
		if e.changes.Restored {
			c.registry.ReplaceRestored(list, now)
		} else {
			c.registry.Replace(list, e.afterOutage, now)
		}
	} else {
		afterOutage := e.afterOutage && c.registry.LostInOutage(e.changes.removals())
		for i := range e.changes.Changes {
			change := &e.changes.Changes[i]
			if change.Removed {
				c.registry.Remove(change.ID, afterOutage, now)
				continue
			}
			c.registry.ApplyReport(change.Server)
		}
	}
	if before == c.registry.Version() && c.View().ServersKnown {
		c.confirm(e.sentAt, time.Time{})
		return
	}
	c.publishServers(e.sentAt, true)
}

// applyRelay applies what the lease holder has read from the store.
func (c *Control) applyRelay(u *RelayUpdate, now time.Time) {
	if u.Config != nil {
		c.applyConfig(u.Config, u.ConfigAt)
	}
	changes := u.Servers
	if u.ServersAt.Before(c.View().ServersAt) {
		changes = changes.withoutOmissions()
		c.listWanted.Store(c.listWanted.Load() || u.Complete)
	}
	c.applyServers(&serverEvent{changes: changes, sentAt: u.ServersAt}, now)
	c.confirm(u.ServersAt, u.ConfigAt)
	if c.configVersion() >= u.ConfigVersion {
		c.proveConfig(u.ConfigProvenAt)
	}
}

// proveConfig records that a read sent at that time shows the configuration to be in force.
func (c *Control) proveConfig(at time.Duration) {
	next := *c.View()
	if at > next.ConfigProvenAt {
		next.ConfigProvenAt = at
		c.view.Store(&next)
	}
}

// confirm records that the servers and the configuration were current at the given times. The content of the view
// does not change, so Changed is not closed.
func (c *Control) confirm(servers, config time.Time) {
	next := *c.View()
	if servers.After(next.ServersAt) {
		next.ServersAt = servers
	}
	if config.After(next.ConfigAt) {
		next.ConfigAt = config
	}
	c.view.Store(&next)
}

// publishServers publishes the registry's servers. at is when the list was read; listed is set once a complete list has
// been read.
func (c *Control) publishServers(at time.Time, listed bool) {
	next := *c.View()
	before := next.Servers
	next.Servers = c.registry.Servers()
	next.ByService = map[string][]string{}
	next.ServersKnown, next.ServersAt = listed, at
	next.ServersVersion = c.registry.Version()
	next.ServerChanged, next.ServerRemoved = c.registry.Changes()
	next.ServersForgotten = c.registry.ForgottenVersion()
	for _, id := range slices.Sorted(maps.Keys(next.Servers)) {
		service := next.Servers[id].Service
		next.ByService[service] = append(next.ByService[service], id)
	}
	c.logServerChanges(before, next.Servers)
	c.publish(&next)
}

// publish replaces the view and wakes everyone who waits for a change of the previous one.
func (c *Control) publish(next *View) {
	previous := c.View()
	next.Changed = make(chan struct{})
	c.view.Store(next)
	close(previous.Changed)
}

// logServerChanges logs each server that appeared, started to drain or disappeared.
func (c *Control) logServerChanges(before, after map[string]fleet.Server) {
	for id := range after {
		s, old := after[id], before[id]
		switch {
		case old.StartMillis != s.StartMillis:
			c.log.Log(eventlog.ServerAppeared, "server", id, "service", s.Service, "address", s.Address, "born", s.StartMillis, "draining", s.Draining)
		case s.Draining && !old.Draining:
			c.log.Log(eventlog.ServerDraining, "server", id, "sequence", s.Sequence)
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			c.log.Log(eventlog.ServerGone, "server", id, "last_sequence", before[id].Sequence)
		}
	}
}

// configVersion returns the version of the current configuration; 0 before the first one.
func (c *Control) configVersion() int64 {
	if config := c.View().Config; config != nil {
		return config.Version
	}
	return 0
}

// daemonCount returns the number of daemons that share the traffic; 0 while unknown.
func (c *Control) daemonCount() int {
	if p := c.View().Placement; p != nil {
		return p.Daemons
	}
	return 0
}

// Follow runs the loop and reads the sources until ctx ends.
func (c *Control) Follow(ctx context.Context, config ConfigSource, servers ServerSource) {
	var work sync.WaitGroup
	work.Go(func() { c.Run(ctx) })
	work.Go(func() { c.followConfig(ctx, config) })
	work.Go(func() { c.followServers(ctx, servers) })
	work.Wait()
}
