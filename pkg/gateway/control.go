package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
)

const (
	// controlQueue bounds the events that wait for the control loop; sources wait when it is full.
	controlQueue = 64
	// expirePeriod is how often servers whose grace is over are dropped.
	expirePeriod = 200 * time.Millisecond
)

// Control owns the state of the daemon in one goroutine and publishes views of it.
type Control struct {
	log      *eventlog.Logger
	pace     Pace
	registry *fleet.Registry
	events   chan controlEvent
	view     atomic.Pointer[View]
	// following is set while another daemon holds the lease and answers.
	following atomic.Bool
	// storeLost is set while reads of the configuration fail.
	storeLost atomic.Bool
	// hurryUntil is until when the list of servers is read more often, as nanoseconds since 1970.
	hurryUntil atomic.Int64
}

// NewControl returns a loop that knows nothing yet.
func NewControl(log *eventlog.Logger, pace Pace) *Control {
	c := &Control{log: log, pace: pace, registry: fleet.NewRegistry(), events: make(chan controlEvent, controlQueue)}
	c.view.Store(&View{Changed: make(chan struct{})})
	return c
}

// View returns the newest view.
func (c *Control) View() *View { return c.view.Load() }

// SetFollowing tells whether another daemon passes the store's changes on.
func (c *Control) SetFollowing(following bool) { c.following.Store(following) }

// Hurry makes the daemon read the list of servers more often until the given time, because servers are expected to return.
func (c *Control) Hurry(until time.Time) { c.hurryUntil.Store(until.UnixNano()) }

// serverPause returns the time between two reads of the list of servers.
func (c *Control) serverPause(now time.Time) time.Duration {
	if now.UnixNano() < c.hurryUntil.Load() {
		return c.pace.ServerPeriod / hurryFactor
	}
	return c.pace.ServerPeriod
}

// Relay hands an update of the holder of the lease to the loop.
func (c *Control) Relay(ctx context.Context, u *RelayUpdate) {
	c.send(ctx, controlEvent{relay: u})
}

// SetPlacement hands a new placement to the loop.
func (c *Control) SetPlacement(ctx context.Context, p *Placement) {
	c.send(ctx, controlEvent{placement: p})
}

func (c *Control) send(ctx context.Context, e controlEvent) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// Run applies events until ctx ends.
func (c *Control) Run(ctx context.Context) {
	ticker := time.NewTicker(expirePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			c.apply(e, time.Now())
		case <-ticker.C:
			now := time.Now()
			if c.registry.Expire(now) {
				c.publishServers(c.View().ServersAt, c.View().Listed)
			}
		}
	}
}

func (c *Control) apply(e controlEvent, now time.Time) {
	switch {
	case e.config != nil:
		c.applyConfig(e.config, e.confirmed)
	case e.servers != nil:
		c.applyServers(e.servers, now)
	case e.relay != nil:
		c.applyRelay(e.relay, now)
	case !e.confirmed.IsZero():
		c.confirm(time.Time{}, e.confirmed)
	case e.placement != nil:
		next := *c.View()
		next.Placement, next.PlacementAt = e.placement, now
		c.publish(&next)
	}
}

// applyConfig puts a configuration in force. An older version than the current one never replaces it.
func (c *Control) applyConfig(config *fleet.Config, at time.Time) {
	current := c.View()
	if current.Config != nil && config.Version <= current.Config.Version {
		c.confirm(time.Time{}, at)
		return
	}
	next := *current
	next.Config, next.ConfigAt = config, at
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
		c.registry.Replace(list, e.afterOutage, now)
	} else {
		for i := range e.changes.Changes {
			change := &e.changes.Changes[i]
			if change.Removed {
				c.registry.Remove(change.ID, e.afterOutage, now)
				continue
			}
			c.registry.Report(change.Server)
		}
	}
	if before == c.registry.Version() && c.View().Listed {
		c.confirm(e.sentAt, time.Time{})
		return
	}
	c.publishServers(e.sentAt, true)
}

// applyRelay takes over what the holder of the lease has read from the store.
func (c *Control) applyRelay(u *RelayUpdate, now time.Time) {
	if u.Config != nil {
		c.applyConfig(u.Config, u.ConfigAt)
	}
	c.applyServers(&serverEvent{changes: u.Servers, sentAt: u.ServersAt}, now)
	c.confirm(u.ServersAt, u.ConfigAt)
}

// confirm notes that the parts of the view were current at the given times. The view's content stays, so nobody who
// waits for a change is woken.
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

func (c *Control) publishServers(at time.Time, listed bool) {
	next := *c.View()
	before := next.Servers
	next.Servers = c.registry.Servers()
	next.ByService = map[string][]string{}
	next.Listed, next.ServersAt = listed, at
	next.ServersVersion = c.registry.Version()
	next.ServerChanged, next.ServerGone = c.registry.Changes()
	for _, id := range slices.Sorted(maps.Keys(next.Servers)) {
		service := next.Servers[id].Service
		next.ByService[service] = append(next.ByService[service], id)
	}
	c.logServers(before, next.Servers)
	c.publish(&next)
}

func (c *Control) publish(next *View) {
	previous := c.View()
	next.Changed = make(chan struct{})
	c.view.Store(next)
	close(previous.Changed)
}

// logServers writes one line for each server that appeared, left or changed its state.
func (c *Control) logServers(before, after map[string]fleet.Server) {
	for id := range after {
		s, old := after[id], before[id]
		switch {
		case old.BornMillis != s.BornMillis:
			c.log.Log(eventlog.ServerAppeared, "server", id, "service", s.Service, "address", s.Address, "born", s.BornMillis, "draining", s.Draining)
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

// configVersion returns the version in force; 0 before the first one.
func (c *Control) configVersion() int64 {
	if config := c.View().Config; config != nil {
		return config.Version
	}
	return 0
}

// daemons returns the number of daemons that share the traffic; 0 while it is not known.
func (c *Control) daemons() int {
	if p := c.View().Placement; p != nil {
		return p.Daemons
	}
	return 0
}

// Follow runs the loop and its sources until ctx ends.
func (c *Control) Follow(ctx context.Context, config ConfigSource, servers ServerSource) {
	var work sync.WaitGroup
	work.Go(func() { c.Run(ctx) })
	work.Go(func() { c.followConfig(ctx, config) })
	work.Go(func() { c.followServers(ctx, servers) })
	work.Wait()
}
