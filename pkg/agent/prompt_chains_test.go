package agent

import (
	"slices"
	"testing"

	"trefoilferry.example/ferry/pkg/engine"
)

// Guards against cached prompts that are predicted as uncached because a probe names only their beginning, against
// unique ends that count as shared, and against a memory that grows without bound.
func TestPromptChains(t *testing.T) {
	p := NewPromptChains(8)
	p.Learn("m", 1, []uint64{1, 2, 3, 4})
	if got := p.Expected("m", 1); !slices.Equal(got, []uint64{1, 2, 3, 4}) {
		t.Errorf("after one prompt: %v", got)
	}
	p.Learn("m", 1, []uint64{1, 2, 3, 9})
	if got := p.Expected("m", 1); !slices.Equal(got, []uint64{1, 2, 3}) {
		t.Errorf("after two prompts: %v", got)
	}
	p.Learn("m", 2, []uint64{5, 6, 7, 8, 10})
	if p.Expected("m", 1) != nil || p.Expected("n", 2) != nil || len(p.Expected("m", 2)) != 5 || p.blocks != 5 {
		t.Errorf("%d blocks are kept", p.blocks)
	}
	p.Learn("m", 3, make([]uint64, 9))
	if p.Expected("m", 3) != nil || p.blocks != 5 {
		t.Error("a chain beyond the bound is kept")
	}
	index := NewPrefixIndex(10)
	for i, block := range []uint64{5, 6, 8} {
		index.Apply([]engine.CacheEvent{{Seq: uint64(i + 1), Model: "m", Prefix: block, Tokens: 64 * uint32(i+1), Stored: true}})
	}
	if got := index.Cached("m", p.Expected("m", 2)); got != 128 {
		t.Errorf("%d cached tokens over a hole, want 128", got)
	}
}
