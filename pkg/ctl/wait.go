package ctl

import (
	"context"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// statusPollInterval is the pause between two rounds of Status calls. Daemons poll for new configuration every 250 ms.
const statusPollInterval = 100 * time.Millisecond

// waitInForce waits up to limit until every daemon has applied the offset of the result, and sets its InForce and
// NotInForce. It returns no error, because the change set has already been accepted.
func (c *Client) waitInForce(ctx context.Context, r *PublishResult, limit time.Duration) {
	if limit <= 0 {
		return
	}
	deadline := c.Clock.Now().Add(limit)
	for {
		r.NotInForce = c.notInForce(ctx, r.Offset)
		inForce := len(r.NotInForce) == 0
		r.InForce = &inForce
		if inForce || !c.Clock.Now().Before(deadline) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(statusPollInterval):
		}
	}
}

// notInForce returns the names of the daemons that have not applied the offset or did not respond. If the host list
// cannot be read, it returns the single entry "host list".
func (c *Client) notInForce(ctx context.Context, offset uint64) []string {
	hosts, err := c.peerHosts(ctx)
	if err != nil {
		return []string{"host list"}
	}
	responses, errs := callAll(ctx, c, hosts, func(ctx context.Context, peer ferrypb.Peer) (*ferrypb.StatusResponse, error) {
		return peer.Status(ctx, &ferrypb.StatusRequest{})
	})
	var out []string
	for i, host := range hosts {
		if errs[i] != nil || responses[i].GetConfigOffset() < offset {
			out = append(out, host.Name)
		}
	}
	return out
}
