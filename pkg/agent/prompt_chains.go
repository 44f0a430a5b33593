package agent

import (
	"container/list"
	"sync"
)

// chainBlocksPerPrefix is the capacity of PromptChains in blocks per prefix of the index, since most prompts have several
// blocks.
const chainBlocksPerPrefix = 4

// promptChain holds the block hashes of the last prompt that started with a prefix.
type promptChain struct {
	key    prefixKey
	blocks []uint64
	// shared is the number of leading blocks that the last two such prompts had in common.
	shared int
}

// PromptChains maps a prompt prefix to the block hashes of the last prompt that started with it. A probe carries only the
// hash of the prefix; with the blocks, the agent can predict how much of the whole prompt is cached. The total number of
// blocks is limited; the least recently used chain is evicted first. It is safe for concurrent use.
type PromptChains struct {
	mu      sync.Mutex
	limit   int
	blocks  int
	order   *list.List
	entries map[prefixKey]*list.Element
}

// NewPromptChains returns an empty PromptChains with room for limit blocks in total.
func NewPromptChains(limit int) *PromptChains {
	return &PromptChains{limit: limit, order: list.New(), entries: map[prefixKey]*list.Element{}}
}

// Record records the blocks of a prompt that starts with prefix. It ignores prompts of more than limit blocks.
func (p *PromptChains) Record(model string, prefix uint64, blocks []uint64) {
	if len(blocks) == 0 || len(blocks) > p.limit {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := prefixKey{model, prefix}
	chain := &promptChain{key: key, blocks: blocks, shared: len(blocks)}
	if old, ok := p.entries[key]; ok {
		chain.shared = commonBlocks(old.Value.(*promptChain).blocks, blocks)
		p.remove(old)
	}
	p.entries[key] = p.order.PushBack(chain)
	p.blocks += len(blocks)
	for p.blocks > p.limit {
		p.remove(p.order.Front())
	}
}

// ExpectedBlocks returns the blocks with which the next prompt that has the prefix is expected to start; nil if none are
// known.
func (p *PromptChains) ExpectedBlocks(model string, prefix uint64) []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[prefixKey{model, prefix}]
	if !ok {
		return nil
	}
	p.order.MoveToBack(e)
	chain := e.Value.(*promptChain)
	return chain.blocks[:chain.shared]
}

func (p *PromptChains) remove(e *list.Element) {
	chain := p.order.Remove(e).(*promptChain)
	delete(p.entries, chain.key)
	p.blocks -= len(chain.blocks)
}

func commonBlocks(a, b []uint64) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}
