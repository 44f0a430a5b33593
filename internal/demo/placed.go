package demo

import (
	"context"
)

// waitPlaced waits until each published model has a ready copy.
func (d *Demo) waitPlaced(ctx context.Context) error {
	ready, wanted := 0, 0
	err := d.cluster.WaitFor(ctx, placeWait, "every model has a ready copy", func() bool {
		var err error
		ready, wanted, err = d.cluster.PlacedModels(ctx)
		return err == nil && wanted > 0 && ready == wanted
	})
	d.printf("%d of %d models have a ready copy\n", ready, wanted)
	return err
}
