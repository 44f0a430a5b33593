package ctl

import (
	"context"

	"trefoilferry.example/ferry/pkg/configlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/stream"
)

// Sources of the configuration state in a result.
const (
	// SourceLog means that the state was read from the log and includes every record.
	SourceLog = "log"
	// SourceDaemons means that the log is unavailable and the state is that of the most advanced daemon.
	SourceDaemons = "daemons"
)

// maxPolls limits the reads from daemons; one poll reads the records of the most advanced daemon to their end.
const maxPolls = 3

// configState returns the applied configuration and its source: the log or, during an outage of the log, the daemons.
// If no daemon responds either, the failure is that of the log.
func (c *Client) configState(ctx context.Context) (*configlog.Fold, string, error) {
	p, err := c.syncedPublisher(ctx)
	if err == nil {
		return p.Fold(), SourceLog, nil
	}
	hosts, hostsErr := c.peerHosts(ctx)
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
	for range maxPolls {
		if _, pollErr := follower.Poll(ctx); pollErr == nil && follower.CaughtUp() {
			return fold, SourceDaemons, nil
		}
	}
	return nil, "", err
}
