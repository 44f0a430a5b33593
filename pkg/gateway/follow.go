package gateway

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/retry"
)

const (
	// relayCheckInterval is how often the age of the relayed state is checked.
	relayCheckInterval = 100 * time.Millisecond
	// minReadBackoff is the delay after a first failed read; it doubles up to maxReadBackoff, because calls are billed
	// even while the store refuses them. The deadline for applying changes starts only some seconds after an outage, and
	// maxReadBackoff is shorter than that.
	minReadBackoff = 250 * time.Millisecond
	maxReadBackoff = 3 * time.Second
	// maxUnreadyBackoff bounds the delay while the daemon cannot serve because it has not yet read the store.
	maxUnreadyBackoff = 500 * time.Millisecond
	// noConfigDelay is the delay between reads while the store has no configuration yet.
	noConfigDelay = 200 * time.Millisecond
)

// followConfig reads the configuration and sends new versions to the control loop until ctx ends. It does not read
// while the lease holder relays current state.
func (c *Control) followConfig(ctx context.Context, source ConfigSource) {
	dependency := dependencyState{log: c.log, name: "configuration"}
	// The first read after relayed state returns at once, because the configuration may have changed since the relay.
	wait := time.Duration(0)
	// The view shows the result of a read only after the control loop has applied it.
	var lastRead time.Time
	for ctx.Err() == nil {
		if c.relayFresh(c.View().ConfigAt) || c.relayFresh(lastRead) {
			wait = 0
			sleep(ctx, relayCheckInterval)
			continue
		}
		sent, provenAt := time.Now(), c.uptime()
		config, err := c.readConfig(ctx, source, wait, dependency.failures)
		dependency.record(err)
		c.storeUnavailable.Store(dependency.unavailable)
		if err == nil {
			lastRead = sent
		}
		switch {
		case err == nil && (config == nil || c.View().Config == nil):
			wait = c.timing.ConfigWait
		case err == nil:
			// The new version is known to be current only as of when the read was sent. A read that returns at once
			// confirms it, so that what the holder relays does not become too old during the next long poll: then every
			// other daemon would read the store as well.
			wait = 0
		}
		switch {
		case err != nil:
			sleep(ctx, dependency.retryDelay(err, c.View().Ready(), time.Since(sent)))
		case config != nil:
			c.send(ctx, controlEvent{config: config, configAt: sent, configProvenAt: provenAt})
		case c.View().Config == nil:
			sleep(ctx, noConfigDelay)
		default:
			// The store responded after waiting for a change, so the configuration is current as of now.
			c.send(ctx, controlEvent{configAt: time.Now(), configProvenAt: provenAt})
		}
	}
}

func (c *Control) readConfig(ctx context.Context, source ConfigSource, wait time.Duration, failures int) (*fleet.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timing.readTimeout(failures))
	defer cancel()
	return source.Next(ctx, wait)
}

func (c *Control) readServers(ctx context.Context, source ServerSource, failures int) (ServerChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.readTimeout(failures))
	defer cancel()
	return source.Next(ctx)
}

// followServers reads the server list and sends its changes to the control loop until ctx ends. It does not read while
// the lease holder relays current state.
func (c *Control) followServers(ctx context.Context, source ServerSource) {
	dependency := dependencyState{log: c.log, name: "server list"}
	failed := false
	var lastRead time.Time
	for ctx.Err() == nil {
		if at := c.View().ServersAt; c.relayFresh(at) || c.relayFresh(lastRead) {
			if at.After(lastRead) {
				source.Restart()
			}
			sleep(ctx, relayCheckInterval)
			continue
		}
		sent := time.Now()
		changes, err := c.readServers(ctx, source, dependency.failures)
		dependency.record(err)
		if err != nil {
			failed = true
			sleep(ctx, dependency.retryDelay(err, c.View().Ready(), time.Since(sent)))
			continue
		}
		c.send(ctx, controlEvent{servers: &serverEvent{changes: changes, afterOutage: failed, sentAt: sent}})
		failed, lastRead = false, sent
		if !changes.Full {
			// A complete list may be older than the changes after it, so those are read without a delay.
			sleep(ctx, c.serverPollInterval(time.Now()))
		}
	}
}

// relayFresh reports whether the lease holder relays state that is younger than MaxRelayAge, so that the store need not
// be read. confirmed is when that part of the view was last known to be current.
func (c *Control) relayFresh(confirmed time.Time) bool {
	return c.relayActive.Load() && time.Since(confirmed) < c.timing.MaxRelayAge
}

// CanRelay reports whether a holder whose server list and configuration have the given ages reaches the store, so that
// it should go on as the holder.
func (c *Control) CanRelay(serversAge, configAge time.Duration) bool {
	return serversAge < c.timing.MaxHolderAge && configAge < c.timing.MaxRelayAge
}

// dependencyState counts the failures of a dependency and logs when it becomes unavailable and when it recovers.
type dependencyState struct {
	log         *eventlog.Logger
	name        string
	unavailable bool
	since       time.Time
	// failures is the number of consecutive failures.
	failures int
}

// answered reports whether the dependency has answered a read. One that it has served, but whose content cannot be used,
// says nothing about its state.
func answered(err error) bool { return err == nil || failure.From(err).Outcome == failure.Ran }

// backoff returns the delay after the last failure. ready is set when the daemon can serve with what it has read
// before.
func (d *dependencyState) backoff(ready bool) time.Duration {
	limit := maxUnreadyBackoff
	if ready {
		limit = maxReadBackoff
	}
	return retry.DoublingDelay(minReadBackoff, limit, d.failures-1)
}

// retryDelay returns the delay after a failed read and logs it with the failure. The time that the read took counts towards
// it: a read that hangs until its timeout may have been sent just before the end of an outage.
func (d *dependencyState) retryDelay(err error, ready bool, took time.Duration) time.Duration {
	delay := max(d.backoff(ready)-took, minReadBackoff)
	d.log.Log(eventlog.LogReadFailed, "dependency", d.name, "failures", d.failures, "next_in", delay, "reason", err)
	return delay
}

func (d *dependencyState) record(err error) {
	available := answered(err)
	if available {
		d.failures = 0
	} else {
		d.failures++
	}
	switch {
	case !available && !d.unavailable:
		d.unavailable, d.since = true, time.Now()
		d.log.Log(eventlog.LogUnavailable, "dependency", d.name, "reason", err)
	case available && d.unavailable:
		d.unavailable = false
		d.log.Log(eventlog.LogRecovered, "dependency", d.name, "after", time.Since(d.since).Round(time.Millisecond))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
