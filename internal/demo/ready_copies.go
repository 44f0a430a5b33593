package demo

import (
	"context"
)

// waitReadyCopies waits until each published model has a ready copy and prints the number of models that have one.
func (d *Demo) waitReadyCopies(ctx context.Context) error {
	ready, published := 0, 0
	err := d.cluster.WaitFor(ctx, placementTimeout, "every model has a ready copy", func() bool {
		var err error
		ready, published, err = d.cluster.CountReadyModels(ctx)
		return err == nil && published > 0 && ready == published
	})
	d.printf("%d of %d models have a ready copy\n", ready, published)
	return err
}
