package agent

import (
	"container/list"
	"sync"

	"trefoilferry.example/ferry/pkg/engine"
)

// prefixKey identifies a prompt prefix of a model.
type prefixKey struct {
	model  string
	prefix uint64
}

type prefixEntry struct {
	key    prefixKey
	tokens uint32
}

// PrefixIndex is an index of the prompt prefixes in the engine's cache, built from the engine's cache events. When it is
// full, it evicts the prefix that was least recently stored or looked up. It is safe for concurrent use.
type PrefixIndex struct {
	mu      sync.Mutex
	limit   int
	next    uint64
	order   *list.List
	entries map[prefixKey]*list.Element
}

// NewPrefixIndex returns an index of up to limit prefixes.
func NewPrefixIndex(limit int) *PrefixIndex {
	return &PrefixIndex{limit: limit, next: 1, order: list.New(), entries: map[prefixKey]*list.Element{}}
}

// NextSeq returns the sequence number of the next event to read.
func (p *PrefixIndex) NextSeq() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.next
}

// Apply applies events and ignores those that were already applied. After a gap in the sequence numbers it first clears
// the index, because a removal may have been missed and its prefix would wrongly count as cached.
func (p *PrefixIndex) Apply(events []engine.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range events {
		if e.Seq < p.next {
			continue
		}
		if e.Seq > p.next {
			p.clear()
		}
		p.next = e.Seq + 1
		p.apply(e)
	}
}

// Reset clears the index. It is called when the engine process was replaced.
func (p *PrefixIndex) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clear()
	p.next = 1
}

// PrefixTokens returns the number of cached tokens of a prefix; 0 if it is not in the index.
func (p *PrefixIndex) PrefixTokens(model string, prefix uint64) uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[prefixKey{model, prefix}]
	if !ok {
		return 0
	}
	p.order.MoveToBack(e)
	return e.Value.(*prefixEntry).tokens
}

// CachedTokens returns the number of tokens in the leading blocks of a prompt that are cached.
func (p *PrefixIndex) CachedTokens(model string, blocks []uint64) uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	tokens := uint32(0)
	for _, block := range blocks {
		e, ok := p.entries[prefixKey{model, block}]
		if !ok {
			break
		}
		p.order.MoveToBack(e)
		tokens = e.Value.(*prefixEntry).tokens
	}
	return tokens
}

func (p *PrefixIndex) clear() {
	p.order.Init()
	clear(p.entries)
}

func (p *PrefixIndex) apply(e engine.CacheEvent) {
	key := prefixKey{e.Model, e.PrefixHash}
	if old, ok := p.entries[key]; ok {
		p.order.Remove(old)
		delete(p.entries, key)
	}
	if !e.Stored {
		return
	}
	p.entries[key] = p.order.PushBack(&prefixEntry{key: key, tokens: e.Tokens})
	if len(p.entries) > p.limit {
		oldest := p.order.Front()
		p.order.Remove(oldest)
		delete(p.entries, oldest.Value.(*prefixEntry).key)
	}
}
