package gateway

import "container/list"

// cacheShare is the part of a runner's cache that is expected to keep shared parts; running requests take the rest.
const cacheShare = 0.5

// prefixCache estimates which shared prompt parts a runner keeps, least recently used parts dropped first.
type prefixCache struct {
	capacity int
	tokens   int
	order    *list.List
	byHash   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: int(float64(capacity) * cacheShare), order: list.New(), byHash: map[uint64]*list.Element{}}
}

// match returns the tokens of the leading parts that are kept.
func (c *prefixCache) match(chain []prefixLink) int {
	total := 0
	for _, link := range chain {
		if _, ok := c.byHash[link.hash]; !ok {
			break
		}
		total += link.tokens
	}
	return total
}

func (c *prefixCache) add(chain []prefixLink) {
	for _, link := range chain {
		if e, ok := c.byHash[link.hash]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.byHash[link.hash] = c.order.PushFront(link)
		c.tokens += link.tokens
	}
	for c.tokens > c.capacity && c.order.Len() > 0 {
		oldest := c.order.Remove(c.order.Back()).(prefixLink)
		delete(c.byHash, oldest.hash)
		c.tokens -= oldest.tokens
	}
}
