package demo

import (
	"context"
	"fmt"

	"trefoilferry.example/ferry/pkg/failure"
)

// sendRequests sends the requests of the demo and prints the resulting state of the system.
func (d *Demo) sendRequests(ctx context.Context) error {
	model, adapter, err := d.targets(ctx)
	if err != nil {
		return err
	}
	d.printStep("streamed chat with model %s", model)
	requestID, err := d.streamChat(ctx, 0, model)
	if err != nil {
		return err
	}
	d.printStep("streamed chat with adapter %s", adapter)
	if _, err := d.streamChat(ctx, 1, adapter); err != nil {
		return err
	}
	d.printStep("one crew booking sent twice with the same idempotency key")
	if err := d.bookTwice(ctx); err != nil {
		return err
	}
	return d.printState(ctx, requestID)
}

// targets returns the first published model and the first published adapter.
func (d *Demo) targets(ctx context.Context) (model, adapter string, err error) {
	names, err := d.cluster.ModelNames(ctx)
	if err != nil {
		return "", "", err
	}
	if len(names.Models) == 0 || len(names.Adapters) == 0 {
		return "", "", failure.New(failure.Internal, failure.Ran, fmt.Sprintf("the demo needs a model and an adapter, but %s has %d models and %d adapters",
			d.profile.ConfigFile, len(names.Models), len(names.Adapters)))
	}
	return names.Models[0], names.Adapters[0], nil
}

// printState prints what the operators' client shows about daemons, placements and the request with the given ID.
func (d *Demo) printState(ctx context.Context, requestID string) error {
	for _, view := range []struct {
		title string
		args  []string
	}{
		{"configuration in force on each daemon", []string{"status"}},
		{"placements", []string{"placements"}},
		{"timeline of the first chat", []string{"timeline", "--request", requestID}},
	} {
		d.printStep("%s", view.title)
		out, err := d.cluster.RunFerryctl(ctx, view.args...)
		d.printf("%s", out)
		if err != nil {
			return err
		}
	}
	return nil
}
