package agent

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/placement"
)

// minFailedPings is the number of consecutive unanswered pings required to treat a runner as silent. Without it, a
// watcher that had been paused would take its own pause for the silence of others.
const minFailedPings = 3

// watchedRunner is the liveness state of a runner that this agent watches.
type watchedRunner struct {
	runner       placement.Runner
	lastSeen     time.Time
	nextPing     time.Time
	pingInFlight bool
	failedPings  int
}

type watchState struct {
	// runnerNames are all runners, in the order of the snapshot from which the watched ones were selected.
	runnerNames []string
	// watchedNames are the keys of watched in the order of runnerNames.
	watchedNames []string
	watched      map[string]*watchedRunner
	// checkedPlacement is the snapshot for which updateWatched last ran.
	checkedPlacement *placement.Snapshot
}

func newWatchState() watchState { return watchState{watched: map[string]*watchedRunner{}} }

func (w *watchState) pingDone(now time.Time, runner string, alive bool) {
	t, ok := w.watched[runner]
	if !ok {
		return
	}
	t.pingInFlight = false
	if alive {
		t.lastSeen = now
		t.failedPings = 0
		return
	}
	t.failedPings++
}

// decidePings sends the pings that are due.
func (c *Core) decidePings() {
	if !c.authorized() || c.stopping {
		return
	}
	c.updateWatched()
	for _, name := range c.watch.watchedNames {
		t := c.watch.watched[name]
		if t.pingInFlight || c.now.Before(t.nextPing) {
			continue
		}
		t.pingInFlight = true
		t.nextPing = c.now.Add(c.limits.WatchInterval)
		c.emit(SendPing{Runner: name, Address: t.runner.Address})
	}
}

// updateWatched selects the watched runners again if the set of runners has changed, and resets the state of runners
// whose agent has announced itself again.
func (c *Core) updateWatched() {
	if c.watch.checkedPlacement == c.placement {
		return
	}
	c.watch.checkedPlacement = c.placement
	all := c.placement.Runners()
	names := make([]string, 0, len(all))
	for _, r := range all {
		names = append(names, r.Name)
	}
	if !slices.Equal(names, c.watch.runnerNames) {
		c.selectWatched(all)
		c.watch.runnerNames = names
	}
	for _, t := range c.watch.watched {
		current, _ := c.placement.Runner(t.runner.Name)
		if current.Fencing != t.runner.Fencing {
			*t = watchedRunner{runner: current, lastSeen: c.now}
		}
	}
}

func (c *Core) selectWatched(all []placement.Runner) {
	watched := map[string]*watchedRunner{}
	c.watch.watchedNames = nil
	for _, r := range all {
		if !isWatcher(c.id.Runner, r, all) {
			continue
		}
		t, ok := c.watch.watched[r.Name]
		if !ok {
			t = &watchedRunner{runner: r, lastSeen: c.now}
		}
		watched[r.Name] = t
		c.watch.watchedNames = append(c.watch.watchedNames, r.Name)
	}
	c.watch.watched = watched
}

// nextEvict returns an Evict record for a runner that is silent and absent from the host list. It returns nil if the host
// list is empty or older than Limits.SilenceTimeout.
func (c *Core) nextEvict() *ferrypb.PlacementRecord {
	if c.hostsAt.IsZero() || c.now.Sub(c.hostsAt) > c.limits.SilenceTimeout || len(c.hosts) == 0 {
		return nil
	}
	for _, name := range c.watch.watchedNames {
		t := c.watch.watched[name]
		if !c.evictable(t) {
			continue
		}
		c.log(eventlog.RunnerEvicted, "runner", name, "fencing", t.runner.Fencing)
		t.lastSeen = c.now
		evict := &ferrypb.Evict{Runner: name, Fencing: t.runner.Fencing}
		return &ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Evict{Evict: evict}}
	}
	return nil
}

// evictable reports whether a runner has been silent for Limits.SilenceTimeout and is absent from the host list.
func (c *Core) evictable(t *watchedRunner) bool {
	if t.failedPings < minFailedPings || c.now.Sub(t.lastSeen) < c.limits.SilenceTimeout {
		return false
	}
	for _, h := range c.hosts {
		if h.Name == t.runner.Name {
			return false
		}
	}
	return true
}
