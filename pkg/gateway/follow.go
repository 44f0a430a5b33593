package gateway

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/retry"
)

const (
	// relayCheck is how often the age is checked.
	relayCheck = 100 * time.Millisecond
	// failurePause is the first pause after a failed read; it doubles up to failureLimit, because calls are billed also
	// while the store refuses them. After an outage the bounds for changes begin only seconds later, and the limit is
	// shorter than these.
	failurePause = 250 * time.Millisecond
	failureLimit = 3 * time.Second
	// unreadyLimit bounds the pause while the daemon cannot serve for want of what it reads.
	unreadyLimit = 500 * time.Millisecond
	// startPause is the pause while there is no configuration yet.
	startPause = 200 * time.Millisecond
)

// followConfig hands new configurations to the control loop until ctx ends.
func (c *Control) followConfig(ctx context.Context, source ConfigSource) {
	dependency := dependencyLog{log: c.log, name: "configuration"}
	// The first read after relayed state does not wait for a change: one may have come since.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if c.relayed(c.View().ConfigAt) {
			wait = 0
			pause(ctx, relayCheck)
			continue
		}
		sent := time.Now()
		config, err := c.readConfig(ctx, source, wait, dependency.failures)
		dependency.note(err)
		c.storeLost.Store(err != nil)
		if err == nil {
			wait = c.pace.ConfigWait
		}
		switch {
		case err != nil:
			pause(ctx, dependency.backoff(c.View().Ready()))
		case config != nil:
			c.send(ctx, controlEvent{config: config, confirmed: sent})
		case c.View().Config == nil:
			pause(ctx, startPause)
		default:
			// The store answered after the wait, so the configuration is current up to now.
			c.send(ctx, controlEvent{confirmed: time.Now()})
		}
	}
}

func (c *Control) readConfig(ctx context.Context, source ConfigSource, wait time.Duration, failures int) (*fleet.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.pace.readTimeout(failures))
	defer cancel()
	return source.Next(ctx, wait)
}

func (c *Control) readServers(ctx context.Context, source ServerSource, failures int) (ServerChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, c.pace.readTimeout(failures))
	defer cancel()
	return source.Next(ctx)
}

// followServers hands the changes of the list of servers to the control loop until ctx ends.
func (c *Control) followServers(ctx context.Context, source ServerSource) {
	dependency := dependencyLog{log: c.log, name: "server list"}
	failed := false
	for ctx.Err() == nil {
		if c.relayed(c.View().ServersAt) {
			source.Restart()
			pause(ctx, relayCheck)
			continue
		}
		sent := time.Now()
		changes, err := c.readServers(ctx, source, dependency.failures)
		dependency.note(err)
		if err != nil {
			failed = true
			pause(ctx, dependency.backoff(c.View().Ready()))
			continue
		}
		c.send(ctx, controlEvent{servers: &serverEvent{changes: changes, afterOutage: failed, sentAt: sent}})
		failed = false
		if !changes.Full {
			// A list may be older than the changes that follow it, so these are read at once.
			pause(ctx, c.serverPause(time.Now()))
		}
	}
}

// relayed reports whether the holder of the lease keeps the view current, so that the store need not be read.
func (c *Control) relayed(confirmed time.Time) bool {
	return c.following.Load() && time.Since(confirmed) < c.pace.RelayAge
}

// Relayable reports whether the view is current enough to be passed on.
func (c *Control) Relayable(serversAge time.Duration) bool { return serversAge < c.pace.RelayAge }

// dependencyLog writes one line when a dependency is lost and one when it is back.
type dependencyLog struct {
	log   *eventlog.Logger
	name  string
	lost  bool
	since time.Time
	// failures is the number of failures in a row.
	failures int
}

// backoff returns the pause after the newest failure. ready tells that the daemon serves with what it has read before.
func (d *dependencyLog) backoff(ready bool) time.Duration {
	limit := unreadyLimit
	if ready {
		limit = failureLimit
	}
	return retry.Doubling(failurePause, limit, d.failures-1)
}

func (d *dependencyLog) note(err error) {
	if err == nil {
		d.failures = 0
	} else {
		d.failures++
	}
	switch {
	case err != nil && !d.lost:
		d.lost, d.since = true, time.Now()
		d.log.Log(eventlog.LogUnavailable, "dependency", d.name, "reason", err)
	case err == nil && d.lost:
		d.lost = false
		d.log.Log(eventlog.LogRecovered, "dependency", d.name, "after", time.Since(d.since).Round(time.Millisecond))
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
