package ctl

import (
	"context"

	"trefoilferry.example/ferry/pkg/object"
)

// Drain publishes that a runner takes no new work. Failures are those of Publish.
func (c *Client) Drain(ctx context.Context, runner, author string) (*PublishResult, error) {
	source := object.NewSource()
	source.Put(object.KindDrain, runner)
	return c.Publish(ctx, PublishOptions{Source: source, Author: author})
}

// Undrain withdraws the drain of a runner; without a drain it changes nothing. Failures are those of Publish.
func (c *Client) Undrain(ctx context.Context, runner, author string) (*PublishResult, error) {
	p, err := c.synced(ctx)
	if err != nil {
		return nil, err
	}
	options := PublishOptions{Source: object.NewSource(), Author: author}
	if p.Fold().Set().Drained(runner) {
		options.Deletes = []string{object.KindDrain + "/" + runner}
	}
	return c.Publish(ctx, options)
}
