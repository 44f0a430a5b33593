package integration

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a break anywhere on the path between the caller and a backend server, without faults.
func TestRequestPathWithoutFaults(t *testing.T) {
	c := start(t, smallSpec())
	for _, test := range []struct {
		name, target, model, adapter string
		stream                       bool
	}{
		{"stream of a model", "alpha", "alpha", "", true},
		{"non-streaming response of a model", "beta", "beta", "", false},
		{"stream of an adapter", "alpha-notes", "alpha", "alpha-notes", true},
		{"non-streaming response of an adapter", "alpha-notes", "alpha", "alpha-notes", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, entry := range c.Entries {
				ctx, cancel := withTimeout(10 * time.Second)
				defer cancel()
				prompt := uniquePrompt()
				r := chat(ctx, entry.URL, test.target, prompt, 12, test.stream, nil)
				if !r.intact(test.model, test.adapter, prompt, 12) {
					t.Errorf("response via %s not intact: %+v", entry.Spec.Name, r)
				}
			}
		})
	}
	t.Run("service", func(t *testing.T) {
		ctx, cancel := withTimeout(10 * time.Second)
		defer cancel()
		r := call(ctx, http.MethodGet, c.Entries[0].URL+"/services/booking/crews?day=1", "", "")
		if r.status != http.StatusOK || r.outcome == "not_run" {
			t.Errorf("service call: %+v, want status 200 and an outcome other than not_run", r)
		}
	})
	t.Run("unknown model", func(t *testing.T) {
		ctx, cancel := withTimeout(10 * time.Second)
		defer cancel()
		r := chat(ctx, c.Entries[0].URL, "gamma", "x", 4, true, nil)
		if r.status != http.StatusNotFound || r.outcome != "not_run" || r.code != "not_found" {
			t.Errorf("request for an unknown model: %+v, want status 404, outcome not_run and code not_found", r)
		}
	})
}
