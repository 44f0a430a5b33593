package gateway

import "container/list"

// cacheShare is the part of a runner's cache that is expected to hold shared prompt parts; running requests use the
// rest.
const cacheShare = 0.5

// prefixCache estimates which shared prompt parts a runner has cached. It evicts the least recently used parts first.
type prefixCache struct {
	// capacity and tokens are in prompt tokens.
	capacity int
	tokens   int
	// order holds values of type prefixLink, the most recently used one at the front.
	order  *list.List
	byHash map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: int(float64(capacity) * cacheShare), order: list.New(), byHash: map[uint64]*list.Element{}}
}

// match returns the number of tokens in the leading parts that are cached.
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

// add marks the parts as most recently used and evicts others beyond the capacity.
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
