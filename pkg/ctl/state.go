package ctl

import (
	"context"

	"trefoilferry.example/ferry/pkg/configlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/stream"
)

// Sources of a state.
const (
	// SourceLog means that the state includes every record of the log.
	SourceLog = "log"
	// SourceDaemons means that the log is out and the state is that of the most advanced daemon.
	SourceDaemons = "daemons"
)

// maxRounds bounds the reads from daemons; one round reads the most advanced one to its end.
const maxRounds = 3

// state returns what is in force: from the log or, while the log is out, from the daemons.
// Failures are those of the log if no daemon answers either.
func (c *Client) state(ctx context.Context) (*configlog.Fold, string, error) {
	p, err := c.synced(ctx)
	if err == nil {
		return p.Fold(), SourceLog, nil
	}
	hosts, hostsErr := c.targets(ctx)
	if !failure.HasCode(err, failure.LogUnavailable) || hostsErr != nil || len(hosts) == 0 {
		return nil, "", err
	}
	fold := configlog.NewFold()
	follower := stream.NewFollower(stream.FollowerConfig{
		Stream:      configlog.Stream,
		Fold:        fold,
		Log:         c.Log,
		Peers:       stream.TwirpPeerClient{Client: c.HTTP},
		Hosts:       func() []infra.Host { return hosts },
		PeerTimeout: c.PeerTimeout,
		Now:         c.Clock.Now,
	})
	for range maxRounds {
		if _, pollErr := follower.Poll(ctx); pollErr == nil && follower.CaughtUp() {
			return fold, SourceDaemons, nil
		}
	}
	return nil, "", err
}
