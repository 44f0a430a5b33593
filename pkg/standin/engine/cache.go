package engine

import (
	"container/list"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
)

// maxCacheEvents is the number of cache events retained for readers.
const maxCacheEvents = 10000

// cacheEvent is an event that becomes visible to readers at visibleAt.
type cacheEvent struct {
	visibleAt time.Time
	event     engine.CacheEvent
}

// cache is a prefix cache of limited size with least-recently-used eviction. Callers must hold Server.mu.
type cache struct {
	maxBlocks int
	eventLag  time.Duration
	dropEvery int
	lru       *list.List
	byHash    map[uint64]*list.Element
	seq       uint64
	events    []cacheEvent
}

// block is one cached prefix.
type block struct {
	model string
	// prefix is the hash of the prompt up to and including this block, tokens its length.
	prefix uint64
	tokens uint32
}

func newCache(config Config) *cache {
	return &cache{
		maxBlocks: config.CacheBlocks, eventLag: config.CacheEventLag, dropEvery: config.CacheEventGap,
		lru: list.New(), byHash: map[uint64]*list.Element{},
	}
}

// lookup returns the number of leading prefixes that are cached, and marks them as used.
func (c *cache) lookup(prefixes []uint64) int {
	for i, prefix := range prefixes {
		element, ok := c.byHash[prefix]
		if !ok {
			return i
		}
		c.lru.MoveToFront(element)
	}
	return len(prefixes)
}

// store adds the prefixes and evicts the least recently used blocks beyond the size. If dropEvents, readers see no
// events of these changes.
func (c *cache) store(now time.Time, model string, prefixes []uint64, dropEvents bool) {
	for i, prefix := range prefixes {
		if element, ok := c.byHash[prefix]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		b := block{model: model, prefix: prefix, tokens: uint32(i+1) * engine.BlockTokens}
		c.byHash[prefix] = c.lru.PushFront(b)
		c.recordEvent(now, b, true, dropEvents)
	}
	for c.lru.Len() > c.maxBlocks {
		c.evict(now, c.lru.Back(), dropEvents)
	}
}

// evictModel evicts all blocks of a model.
func (c *cache) evictModel(now time.Time, model string, dropEvents bool) {
	for element := c.lru.Front(); element != nil; {
		next := element.Next()
		if element.Value.(block).model == model {
			c.evict(now, element, dropEvents)
		}
		element = next
	}
}

func (c *cache) evict(now time.Time, element *list.Element, dropEvent bool) {
	b := c.lru.Remove(element).(block)
	delete(c.byHash, b.prefix)
	c.recordEvent(now, b, false, dropEvent)
}

// recordEvent assigns the next sequence number to an event and retains it for readers. An event that is dropped, by
// dropEvent or as every dropEvery-th one, uses up its number, so that readers can detect the gap.
func (c *cache) recordEvent(now time.Time, b block, stored, dropEvent bool) {
	c.seq++
	if dropEvent || c.dropEvery > 0 && c.seq%uint64(c.dropEvery) == 0 {
		return
	}
	event := engine.CacheEvent{Seq: c.seq, Model: b.model, PrefixHash: b.prefix, Tokens: b.tokens, Stored: stored}
	c.events = append(c.events, cacheEvent{visibleAt: now.Add(c.eventLag), event: event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsFrom returns the visible events with sequence number from or higher.
func (c *cache) eventsFrom(now time.Time, from uint64) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.event.Seq >= from && !e.visibleAt.After(now) {
			events = append(events, e.event)
		}
	}
	return events
}
