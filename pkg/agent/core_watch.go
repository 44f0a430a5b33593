package agent

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/placement"
)

// minFailedPings is the number of unanswered pings without which a runner is not silent, so that a watcher that was
// paused itself does not take its own pause for the silence of others.
const minFailedPings = 3

// watched is what an agent knows about a runner that it watches.
type watched struct {
	runner   placement.Runner
	seen     time.Time
	next     time.Time
	pinging  bool
	failures int
}

type watchState struct {
	// names are all runners from which the watched ones were chosen.
	names []string
	// chosen are the watched runners in name order.
	chosen  []string
	targets map[string]*watched
	// placement is the snapshot that the choice was checked against.
	placement *placement.Snapshot
}

func newWatchState() watchState { return watchState{targets: map[string]*watched{}} }

func (w *watchState) answered(now time.Time, runner string, alive bool) {
	t, ok := w.targets[runner]
	if !ok {
		return
	}
	t.pinging = false
	if alive {
		t.seen = now
		t.failures = 0
		return
	}
	t.failures++
}

// decidePings pings the watched runners that are due.
func (c *Core) decidePings() {
	if !c.commands() || c.stopping {
		return
	}
	c.updateTargets()
	for _, name := range c.watch.chosen {
		t := c.watch.targets[name]
		if t.pinging || c.now.Before(t.next) {
			continue
		}
		t.pinging = true
		t.next = c.now.Add(c.limits.WatchInterval)
		c.do(SendPing{Runner: name, Address: t.runner.Address})
	}
}

// updateTargets chooses the watched runners anew when the set of runners changed.
func (c *Core) updateTargets() {
	if c.watch.placement == c.placement {
		return
	}
	c.watch.placement = c.placement
	all := c.placement.Runners()
	names := make([]string, 0, len(all))
	for _, r := range all {
		names = append(names, r.Name)
	}
	if !slices.Equal(names, c.watch.names) {
		c.chooseTargets(all)
		c.watch.names = names
	}
	for _, t := range c.watch.targets {
		current, _ := c.placement.Runner(t.runner.Name)
		if current.Fencing != t.runner.Fencing {
			*t = watched{runner: current, seen: c.now}
		}
	}
}

func (c *Core) chooseTargets(all []placement.Runner) {
	targets := map[string]*watched{}
	c.watch.chosen = nil
	for _, r := range all {
		if !watches(c.id.Runner, r, all) {
			continue
		}
		t, ok := c.watch.targets[r.Name]
		if !ok {
			t = &watched{runner: r, seen: c.now}
		}
		targets[r.Name] = t
		c.watch.chosen = append(c.watch.chosen, r.Name)
	}
	c.watch.targets = targets
}

// nextEvict returns the record that drops a runner that is silent and absent from a current host list.
func (c *Core) nextEvict() *ferrypb.PlacementRecord {
	if c.hostsAt.IsZero() || c.now.Sub(c.hostsAt) > c.limits.Silence || len(c.hosts) == 0 {
		return nil
	}
	for _, name := range c.watch.chosen {
		t := c.watch.targets[name]
		if !c.gone(t) {
			continue
		}
		c.log(eventlog.RunnerEvicted, "runner", name, "fencing", t.runner.Fencing)
		t.seen = c.now
		evict := &ferrypb.Evict{Runner: name, Fencing: t.runner.Fencing}
		return &ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Evict{Evict: evict}}
	}
	return nil
}

func (c *Core) gone(t *watched) bool {
	if t.failures < minFailedPings || c.now.Sub(t.seen) < c.limits.Silence {
		return false
	}
	for _, h := range c.hosts {
		if h.Name == t.runner.Name {
			return false
		}
	}
	return true
}
