package engine

import (
	"container/list"

	"ryelug/core/cell"
)

// cache models the prompt parts in an engine's prefix cache. Running requests and newer parts evict the least
// recently used ones.
type cache struct {
	// parts maps the IDs of the cached parts to their elements in recent.
	parts  map[uint64]*list.Element
	recent list.List // recent holds the cached parts, the most recently used one in front.
	tokens int       // tokens is the total length of the cached parts.
}

func newCache() cache { return cache{parts: make(map[uint64]*list.Element)} }

// cachedPrefix returns the number of leading parts that are cached: a part can only be used if all parts before it are
// cached as well.
func (c *cache) cachedPrefix(parts []cell.Part) int {
	for i := range parts {
		if _, ok := c.parts[parts[i].ID]; !ok {
			return i
		}
	}
	return len(parts)
}

// use marks parts as just used, and adds missing ones. The first part becomes the most recently used one, since
// most requests share it.
func (c *cache) use(parts []cell.Part) {
	for i := len(parts) - 1; i >= 0; i-- {
		if at, ok := c.parts[parts[i].ID]; ok {
			c.recent.MoveToFront(at)
			continue
		}
		c.parts[parts[i].ID] = c.recent.PushFront(parts[i])
		c.tokens += parts[i].Tokens
	}
}

// addOldest adds missing parts as less recently used than all parts that are cached.
func (c *cache) addOldest(parts []cell.Part) {
	for _, part := range parts {
		if _, known := c.parts[part.ID]; !known {
			c.parts[part.ID] = c.recent.PushBack(part)
			c.tokens += part.Tokens
		}
	}
}

// evictTo evicts the least recently used parts until the others take no more than limit tokens.
func (c *cache) evictTo(limit int) {
	for c.tokens > limit {
		oldest := c.recent.Back()
		if oldest == nil {
			return
		}
		part := c.recent.Remove(oldest).(cell.Part)
		delete(c.parts, part.ID)
		c.tokens -= part.Tokens
	}
}
