package integration

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a request path that is broken anywhere between the caller and a backend server.
func TestWholePath(t *testing.T) {
	c := start(t, smallSpec())
	for _, test := range []struct {
		name, target, model, adapter string
		stream                       bool
	}{
		{"stream of a model", "alpha", "alpha", "", true},
		{"whole answer of a model", "beta", "beta", "", false},
		{"stream of an adapter", "alpha-notes", "alpha", "alpha-notes", true},
		{"whole answer of an adapter", "alpha-notes", "alpha", "alpha-notes", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, entry := range c.Entries {
				ctx, cancel := withTimeout(10 * time.Second)
				defer cancel()
				prompt := uniquePrompt()
				r := chat(ctx, entry.URL, test.target, prompt, 12, test.stream, nil)
				if !r.intact(test.model, test.adapter, prompt, 12) {
					t.Errorf("via %s: %+v", entry.Spec.Name, r)
				}
			}
		})
	}
	t.Run("service", func(t *testing.T) {
		ctx, cancel := withTimeout(10 * time.Second)
		defer cancel()
		r := call(ctx, http.MethodGet, c.Entries[0].URL+"/services/booking/crews?day=1", "", "")
		if r.status != http.StatusOK || r.outcome == "not_run" {
			t.Errorf("%+v", r)
		}
	})
	t.Run("unknown model", func(t *testing.T) {
		ctx, cancel := withTimeout(10 * time.Second)
		defer cancel()
		r := chat(ctx, c.Entries[0].URL, "gamma", "x", 4, true, nil)
		if r.status != http.StatusNotFound || r.outcome != "not_run" || r.code != "not_found" {
			t.Errorf("%+v", r)
		}
	})
}
