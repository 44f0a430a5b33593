package agent

import (
	"testing"

	"trefoilferry.example/ferry/pkg/engine"
)

// Guards against tokens that count as cached although the event of their removal was missed, and against an index that
// grows without bound.
func TestPrefixIndex(t *testing.T) {
	stored := func(seq, prefix uint64) engine.CacheEvent {
		return engine.CacheEvent{Seq: seq, Model: "m", PrefixHash: prefix, Tokens: 64, Stored: true}
	}
	removed := func(seq, prefix uint64) engine.CacheEvent {
		return engine.CacheEvent{Seq: seq, Model: "m", PrefixHash: prefix}
	}
	cases := []struct {
		name   string
		events []engine.CacheEvent
		want   map[uint64]uint32
	}{
		{"stored", []engine.CacheEvent{stored(1, 7)}, map[uint64]uint32{7: 64}},
		{"removed", []engine.CacheEvent{stored(1, 7), removed(2, 7)}, map[uint64]uint32{7: 0}},
		{"gap", []engine.CacheEvent{stored(1, 7), stored(3, 8)}, map[uint64]uint32{7: 0, 8: 64}},
		{"repeated", []engine.CacheEvent{stored(1, 7), removed(2, 7), stored(1, 7)}, map[uint64]uint32{7: 0}},
		{"bound", []engine.CacheEvent{stored(1, 7), stored(2, 8), stored(3, 9)}, map[uint64]uint32{7: 0, 8: 64, 9: 64}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewPrefixIndex(2)
			p.Apply(c.events)
			for prefix, want := range c.want {
				if got := p.PrefixTokens("m", prefix); got != want {
					t.Errorf("prefix %d: %d cached tokens, want %d", prefix, got, want)
				}
			}
		})
	}
}
