package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	bookingKey  = "demo-booking-1"
	bookingBody = `{"crew":"roof-3","school":"Kadikoy 12","day":"2027-03-01"}`
)

// bookTwice sends the same booking with the same idempotency key through each entry host, and checks that the responses
// are equal and that the service ran the booking once.
func (d *Demo) bookTwice(ctx context.Context) error {
	var responses []string
	for i := range d.cluster.Entries {
		response, err := d.book(ctx, i)
		if err != nil {
			return err
		}
		responses = append(responses, response)
	}
	if responses[0] != responses[1] {
		message := fmt.Sprintf("booking responses differ: %q, then %q with the same key", responses[0], responses[1])
		return failure.New(failure.Internal, failure.Ran, message)
	}
	return d.checkBookedOnce(ctx)
}

// book sends the booking through the entry host with the given index and returns the response body.
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
		return "", failure.Wrap(failure.ConnectionLost, failure.Unknown, "booking request to "+url+" failed", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return "", failure.Wrap(failure.ServiceFailed, failure.Unknown, "booking request to "+url+" returned "+resp.Status+": "+string(body), err)
	}
	d.printf("through %s: %s replayed=%q %s\n", d.cluster.Entries[entry].Spec.Name, resp.Status,
		resp.Header.Get("Idempotent-Replayed"), strings.TrimSpace(string(body)))
	return string(body), nil
}

// serviceCounts is the part of the service stand-in's counters that is used here: the number of runs of each
// idempotency key.
type serviceCounts struct {
	Keys map[string]int `json:"by_key"`
}

// checkBookedOnce fails unless all service instances together ran the booking once.
func (d *Demo) checkBookedOnce(ctx context.Context) error {
	total := 0
	for _, r := range d.cluster.Runners {
		if r.Spec.Service == "" {
			continue
		}
		var counts serviceCounts
		if err := d.cluster.ReadCounters(ctx, r.BackendURL, "/counts", &counts); err != nil {
			return err
		}
		total += counts.Keys[bookingKey]
	}
	d.printf("the booking ran %d time(s)\n", total)
	if total != 1 {
		return failure.New(failure.Internal, failure.Ran, fmt.Sprintf("the booking ran %d times, want 1", total))
	}
	return nil
}
