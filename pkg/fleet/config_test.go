package fleet

import "testing"

// Guards against requests that are sent to the service of another route.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	c := &Config{Routes: []Route{
		{Name: "short", VirtualHost: "a.example", PathPrefix: "/x/"},
		{Name: "long", VirtualHost: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", VirtualHost: "b.example", PathPrefix: "/x/y/z/"},
	}}
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"}, {"a.example", "/x/y/1", "long"}, {"A.Example", "/x/y/z/", "long"},
		{"b.example", "/x/y/", ""}, {"b.example", "/x/y/z/1", "other"}, {"a.example", "/x", ""}, {"c.example", "/x/", ""},
	}
	for _, tc := range cases {
		got := ""
		if r := c.Match(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s%s: route %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

// Guards against a split of requests that ignores the weights: requests sent to a target of weight 0, or to none.
func TestWeightedTargets(t *testing.T) {
	r := Route{Targets: []Target{{"a", 1}, {"b", 0}, {"c", 3}}}
	count := map[string]int{}
	for hash := range uint64(400) {
		count[r.Service(hash)]++
	}
	if count["a"] != 100 || count["b"] != 0 || count["c"] != 300 {
		t.Errorf("requests by service %v, want a 100, b 0, c 300", count)
	}
	if s := (&Route{}).Service(1); s != "" {
		t.Errorf("service of a route without targets: %q, want none", s)
	}
}

// Guards against requests that run twice: only these kinds may be retried after an attempt with an unknown outcome.
func TestRepeatableKinds(t *testing.T) {
	cases := []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Idempotent}, true}, {Route{Kind: NonIdempotent}, false}, {Route{Kind: NonIdempotent, Resumable: true}, false},
		{Route{Kind: Streaming}, false}, {Route{Kind: Streaming, Resumable: true}, true}, {Route{}, false},
	}
	for _, c := range cases {
		if got := c.route.Retryable(); got != c.want {
			t.Errorf("repeatable %+v: %v, want %v", c.route, got, c.want)
		}
	}
}

// Guards against applying a configuration whose routes refer to missing services.
func TestProblemsOfAConfiguration(t *testing.T) {
	c := &Config{Services: map[string]Service{"s": {}}, Routes: []Route{
		{Name: "good", Targets: []Target{{"s", 1}}}, {Name: "empty"}, {Name: "dangling", Targets: []Target{{"t", 1}}},
	}}
	if p := c.ValidationErrors(); len(p) != 2 {
		t.Errorf("problems %q, want 2: of the routes empty and dangling", p)
	}
}
