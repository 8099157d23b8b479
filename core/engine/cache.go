package engine

import (
	"container/list"

	"ryelug/core/cell"
)

// cache holds the prompt parts that an engine is believed to keep; the least
// recently used ones yield to running requests and newer parts.
type cache struct {
	parts  map[uint64]*list.Element
	recent list.List // recent has the part used last in front.
	tokens int
}

func newCache() cache { return cache{parts: make(map[uint64]*list.Element)} }

// kept returns the number of leading parts that the engine keeps: a part helps
// only if all parts before it are kept as well.
func (c *cache) kept(parts []cell.Part) int {
	for i := range parts {
		if _, ok := c.parts[parts[i].ID]; !ok {
			return i
		}
	}
	return len(parts)
}

// use marks parts as used just now, the first one last, since it helps most requests.
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

// learn adds parts that were used longer ago than all that are known.
func (c *cache) learn(parts []cell.Part) {
	for _, part := range parts {
		if _, known := c.parts[part.ID]; !known {
			c.parts[part.ID] = c.recent.PushBack(part)
			c.tokens += part.Tokens
		}
	}
}

// shrink drops the least recently used parts until the rest fits.
func (c *cache) shrink(room int) {
	for c.tokens > room {
		oldest := c.recent.Back()
		if oldest == nil {
			return
		}
		part := c.recent.Remove(oldest).(cell.Part)
		delete(c.parts, part.ID)
		c.tokens -= part.Tokens
	}
}
