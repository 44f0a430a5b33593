package demo

import (
	"context"
	"io"
	"net/http"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	bookingKey  = "demo-booking-1"
	bookingBody = `{"crew":"roof-3","school":"Kadikoy 12","day":"2027-03-01"}`
)

// bookTwice sends one booking through two entry hosts with one idempotency key and checks that it ran once.
func (d *Demo) bookTwice(ctx context.Context) error {
	var answers []string
	for i := range d.cluster.Entries {
		answer, err := d.book(ctx, i)
		if err != nil {
			return err
		}
		answers = append(answers, answer)
	}
	if answers[0] != answers[1] {
		return failure.New(failure.Internal, failure.Ran, "the two answers differ")
	}
	return d.checkBookedOnce(ctx)
}

func (d *Demo) book(ctx context.Context, entry int) (string, error) {
	url := d.cluster.Entries[entry].URL + "/services/" + d.profile.Service + "/crews"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(bookingBody))
	if err != nil {
		return "", failure.Wrap(failure.Internal, failure.NotRun, "bad URL", err)
	}
	req.Header.Set("Idempotency-Key", bookingKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", failure.Wrap(failure.ConnectionLost, failure.Unknown, "booking failed", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return "", failure.Wrap(failure.ServiceFailed, failure.Unknown, "booking answered "+resp.Status+": "+string(body), err)
	}
	d.printf("through %s: %s replayed=%q %s\n", d.cluster.Entries[entry].Spec.Name, resp.Status,
		resp.Header.Get("Idempotent-Replayed"), strings.TrimSpace(string(body)))
	return string(body), nil
}

// serviceCounts is the answer of the service stand-in's counters.
type serviceCounts struct {
	Keys map[string]int `json:"by_key"`
}

func (d *Demo) checkBookedOnce(ctx context.Context) error {
	total := 0
	for _, r := range d.cluster.Runners {
		if r.Spec.Service == "" {
			continue
		}
		var counts serviceCounts
		if err := d.cluster.Counters(ctx, r.BackendURL, "/counts", &counts); err != nil {
			return err
		}
		total += counts.Keys[bookingKey]
	}
	d.printf("the booking ran %d time(s)\n", total)
	if total != 1 {
		return failure.New(failure.Internal, failure.Ran, "the booking did not run exactly once")
	}
	return nil
}
