package gateway

import "testing"

// Guards against counting a part as cached although a part before it, the model or the adapter differs.
func TestPrefixMatchesLeadingPartsOnly(t *testing.T) {
	meta := func(model, adapter string, ids ...string) *RequestMeta {
		m := &RequestMeta{Model: model, Adapter: adapter}
		for _, id := range ids {
			m.Prompt = append(m.Prompt, PromptPart{ID: id, Tokens: 100})
		}
		return m
	}
	c := newPrefixCache(10000)
	c.add(prefixChain(meta("m", "", "a", "b", "own")))
	cases := []struct {
		name string
		meta *RequestMeta
		want int
	}{
		{"same", meta("m", "", "a", "b", "other"), 200}, {"first part only", meta("m", "", "a", "x", "other"), 100},
		{"second part alone", meta("m", "", "b", "own"), 0}, {"other model", meta("n", "", "a", "b", "own"), 0},
		{"adapter", meta("m", "a1", "a", "b", "own"), 0}, {"no shared part", meta("m", "", "own"), 0},
	}
	for _, tc := range cases {
		if got := c.match(prefixChain(tc.meta)); got != tc.want {
			t.Errorf("%s: %d cached tokens, want %d", tc.name, got, tc.want)
		}
	}
}

// Load pattern: more shared parts than fit into a runner's cache. Guards against an estimate that never evicts parts.
func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	c := newPrefixCache(600)
	for _, id := range []string{"a", "b", "c", "a", "d"} {
		c.add([]prefixLink{{hash: uint64(id[0]), tokens: 100}})
	}
	for id, want := range map[string]int{"a": 100, "b": 0, "c": 100, "d": 100} {
		if got := c.match([]prefixLink{{hash: uint64(id[0]), tokens: 100}}); got != want {
			t.Errorf("part %s: %d cached tokens, want %d", id, got, want)
		}
	}
}
