package ctl

import (
	"context"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// awaitInterval is the time between two rounds of Status calls; daemons poll every 250 ms.
const awaitInterval = 100 * time.Millisecond

// await waits up to limit until every daemon has applied the offset of the result and records who has not.
// The change is accepted already, so that nothing here is a failure of the publication.
func (c *Client) await(ctx context.Context, r *PublishResult, limit time.Duration) {
	if limit <= 0 {
		return
	}
	end := c.Clock.Now().Add(limit)
	for {
		r.Missing = c.missing(ctx, r.Offset)
		inForce := len(r.Missing) == 0
		r.InForce = &inForce
		if inForce || !c.Clock.Now().Before(end) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(awaitInterval):
		}
	}
}

// missing names the daemons that have not applied the offset or did not answer.
func (c *Client) missing(ctx context.Context, offset uint64) []string {
	hosts, err := c.targets(ctx)
	if err != nil {
		return []string{"host list"}
	}
	answers, errs := ask(ctx, c, hosts, func(ctx context.Context, peer ferrypb.Peer) (*ferrypb.StatusResponse, error) {
		return peer.Status(ctx, &ferrypb.StatusRequest{})
	})
	var out []string
	for i, host := range hosts {
		if errs[i] != nil || answers[i].GetConfigOffset() < offset {
			out = append(out, host.Name)
		}
	}
	return out
}
