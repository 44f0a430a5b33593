package gateway

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
)

const (
	// configWait is how long the store holds a read of the configuration. A connection that went silent is noticed
	// after it, which must leave time to read the change within the period for changes.
	configWait = 2500 * time.Millisecond
	// serverPeriod is the period between reads of the list of servers; draining must be seen well within 2.5 s.
	serverPeriod = 700 * time.Millisecond
	// failurePause is the pause after a failed read.
	failurePause = 250 * time.Millisecond
	// startPause is the pause while there is no configuration yet.
	startPause = 200 * time.Millisecond
)

// followConfig hands new configurations to the control loop until ctx ends.
func (c *Control) followConfig(ctx context.Context, source ConfigSource) {
	dependency := dependencyLog{log: c.log, name: "configuration"}
	for ctx.Err() == nil {
		config, err := source.Next(ctx, configWait)
		dependency.note(err)
		switch {
		case err != nil:
			pause(ctx, failurePause)
		case config != nil:
			c.send(ctx, controlEvent{config: config})
		case c.View().Config == nil:
			pause(ctx, startPause)
		}
	}
}

// followServers hands the changes of the list of servers to the control loop until ctx ends.
func (c *Control) followServers(ctx context.Context, source ServerSource) {
	dependency := dependencyLog{log: c.log, name: "server list"}
	failed := false
	for ctx.Err() == nil {
		changes, err := source.Next(ctx)
		dependency.note(err)
		if err != nil {
			failed = true
			pause(ctx, failurePause)
			continue
		}
		c.send(ctx, controlEvent{servers: &serverEvent{changes: changes, afterOutage: failed}})
		failed = false
		pause(ctx, serverPeriod)
	}
}

// dependencyLog writes one line when a dependency is lost and one when it is back.
type dependencyLog struct {
	log   *eventlog.Logger
	name  string
	lost  bool
	since time.Time
}

func (d *dependencyLog) note(err error) {
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
