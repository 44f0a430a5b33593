package engine

import (
	"container/list"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
)

// maxCacheEvents bounds the events kept for readers.
const maxCacheEvents = 10000

// cacheEvent is an event that readers see from a time on.
type cacheEvent struct {
	visible time.Time
	event   engine.CacheEvent
}

// cache is a prefix cache of limited size with least-recently-used eviction.
type cache struct {
	blocks int
	lag    time.Duration
	gap    int
	order  *list.List
	byHash map[uint64]*list.Element
	seq    uint64
	events []cacheEvent
}

// block is one cached prefix.
type block struct {
	model  string
	prefix uint64
	tokens uint32
}

func newCache(config Config) *cache {
	return &cache{
		blocks: config.CacheBlocks, lag: config.CacheEventLag, gap: config.CacheEventGap,
		order: list.New(), byHash: map[uint64]*list.Element{},
	}
}

// hit returns the number of leading prefixes that are cached.
func (c *cache) hit(prefixes []uint64) int {
	for i, prefix := range prefixes {
		element, ok := c.byHash[prefix]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(prefixes)
}

// store adds the prefixes and evicts the oldest blocks beyond the size.
func (c *cache) store(now time.Time, model string, prefixes []uint64, drop bool) {
	for i, prefix := range prefixes {
		if element, ok := c.byHash[prefix]; ok {
			c.order.MoveToFront(element)
			continue
		}
		b := block{model: model, prefix: prefix, tokens: uint32(i+1) * engine.BlockTokens}
		c.byHash[prefix] = c.order.PushFront(b)
		c.tell(now, b, true, drop)
	}
	for c.order.Len() > c.blocks {
		c.evict(now, c.order.Back(), drop)
	}
}

// forget evicts all blocks of a model.
func (c *cache) forget(now time.Time, model string, drop bool) {
	for element := c.order.Front(); element != nil; {
		next := element.Next()
		if element.Value.(block).model == model {
			c.evict(now, element, drop)
		}
		element = next
	}
}

func (c *cache) evict(now time.Time, element *list.Element, drop bool) {
	b := c.order.Remove(element).(block)
	delete(c.byHash, b.prefix)
	c.tell(now, b, false, drop)
}

// tell numbers an event and keeps it unless it is to be lost.
func (c *cache) tell(now time.Time, b block, stored, drop bool) {
	c.seq++
	if drop || c.gap > 0 && c.seq%uint64(c.gap) == 0 {
		return
	}
	event := engine.CacheEvent{Seq: c.seq, Model: b.model, Prefix: b.prefix, Tokens: b.tokens, Stored: stored}
	c.events = append(c.events, cacheEvent{visible: now.Add(c.lag), event: event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// since returns the visible events from a sequence number on.
func (c *cache) since(now time.Time, from uint64) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.event.Seq >= from && !e.visible.After(now) {
			events = append(events, e.event)
		}
	}
	return events
}
