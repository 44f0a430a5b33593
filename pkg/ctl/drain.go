package ctl

import (
	"context"

	"trefoilferry.example/ferry/pkg/object"
)

// Drain publishes a drain object for the runner, so that it gets no new work. Failures are those of Publish.
func (c *Client) Drain(ctx context.Context, runner, author string) (*PublishResult, error) {
	source := object.NewSource()
	source.AddEmpty(object.KindDrain, runner)
	return c.Publish(ctx, PublishOptions{Source: source, Author: author})
}

// Undrain deletes the drain object of the runner; it changes nothing if there is none. Failures are those of Publish.
func (c *Client) Undrain(ctx context.Context, runner, author string) (*PublishResult, error) {
	p, err := c.syncedPublisher(ctx)
	if err != nil {
		return nil, err
	}
	options := PublishOptions{Source: object.NewSource(), Author: author}
	if p.Fold().Set().Drained(runner) {
		options.Deletes = []string{object.KindDrain + "/" + runner}
	}
	return c.Publish(ctx, options)
}
