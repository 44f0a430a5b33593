package demo

import (
	"context"

	"trefoilferry.example/ferry/pkg/failure"
)

// exercise sends the requests of the demo and shows what the system did.
func (d *Demo) exercise(ctx context.Context) error {
	model, adapter, err := d.targets(ctx)
	if err != nil {
		return err
	}
	d.step("streamed chat with model %s", model)
	requestID, err := d.chat(ctx, 0, model)
	if err != nil {
		return err
	}
	d.step("streamed chat with adapter %s", adapter)
	if _, err := d.chat(ctx, 1, adapter); err != nil {
		return err
	}
	d.step("one crew booking sent twice with one key")
	if err := d.bookTwice(ctx); err != nil {
		return err
	}
	return d.show(ctx, requestID)
}

// targets returns a published model and a published adapter.
func (d *Demo) targets(ctx context.Context) (model, adapter string, err error) {
	names, err := d.cluster.ModelNames(ctx)
	if err != nil {
		return "", "", err
	}
	if len(names.Models) == 0 || len(names.Adapters) == 0 {
		return "", "", failure.New(failure.Internal, failure.Ran, "the configuration has no model or no adapter")
	}
	return names.Models[0], names.Adapters[0], nil
}

func (d *Demo) show(ctx context.Context, requestID string) error {
	for _, view := range []struct {
		title string
		args  []string
	}{
		{"what is in force where", []string{"status"}},
		{"placements", []string{"placements"}},
		{"time line of the first chat", []string{"timeline", "--request", requestID}},
	} {
		d.step("%s", view.title)
		out, err := d.cluster.Ferryctl(ctx, view.args...)
		d.printf("%s", out)
		if err != nil {
			return err
		}
	}
	return nil
}
