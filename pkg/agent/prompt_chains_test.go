package agent

import (
	"slices"
	"testing"

	"trefoilferry.example/ferry/pkg/engine"
)

// Guards against cached prompts that are predicted as uncached because a probe names only their prefix, against blocks
// beyond the common start of two prompts that are expected in the next one, and against unbounded growth.
func TestPromptChains(t *testing.T) {
	p := NewPromptChains(8)
	p.Record("m", 1, []uint64{1, 2, 3, 4})
	if got := p.ExpectedBlocks("m", 1); !slices.Equal(got, []uint64{1, 2, 3, 4}) {
		t.Errorf("expected blocks after one prompt: %v, want [1 2 3 4]", got)
	}
	p.Record("m", 1, []uint64{1, 2, 3, 9})
	if got := p.ExpectedBlocks("m", 1); !slices.Equal(got, []uint64{1, 2, 3}) {
		t.Errorf("expected blocks after two prompts: %v, want [1 2 3]", got)
	}
	p.Record("m", 2, []uint64{5, 6, 7, 8, 10})
	if p.ExpectedBlocks("m", 1) != nil || p.ExpectedBlocks("n", 2) != nil || len(p.ExpectedBlocks("m", 2)) != 5 || p.blocks != 5 {
		t.Errorf("stored blocks after eviction: %d, want the 5 of prefix 2", p.blocks)
	}
	p.Record("m", 3, make([]uint64, 9))
	if p.ExpectedBlocks("m", 3) != nil || p.blocks != 5 {
		t.Errorf("stored blocks after a chain above the limit: %d, want 5", p.blocks)
	}
	index := NewPrefixIndex(10)
	for i, block := range []uint64{5, 6, 8} {
		index.Apply([]engine.CacheEvent{{Seq: uint64(i + 1), Model: "m", PrefixHash: block, Tokens: 64 * uint32(i+1), Stored: true}})
	}
	if got := index.CachedTokens("m", p.ExpectedBlocks("m", 2)); got != 128 {
		t.Errorf("cached tokens with a missing block: %d, want 128", got)
	}
}
