package endpoint

import "time"

// putIdle returns a connection to the pool and watches it: one that receives bytes or closes while idle is dropped.
// It closes the connection if the pool is full.
func (c *Client) putIdle(key poolKey, link *conn) {
	link.idleSince = time.Now()
	link.setDeadline(link.idleSince.Add(c.config.IdleKeep))
	link.watchResult = make(chan error, 1)
	c.mu.Lock()
	if c.idleCount >= c.config.MaxIdle {
		c.mu.Unlock()
		link.close()
		return
	}
	c.idleCount++
	c.idle[key] = append(c.idle[key], link)
	c.mu.Unlock()
	go c.watch(key, link)
}

// watch waits for bytes, an error or the deadline on an idle connection. It closes the connection if that is still
// in the pool, and otherwise hands the error to stopWatch.
func (c *Client) watch(key poolKey, link *conn) {
	_, err := link.reader.Peek(1)
	if c.removeIdle(key, link) {
		link.close()
		return
	}
	link.watchResult <- err
}

// takeIdle removes and returns the connection of a pool that was used last, or returns nil if the pool is empty.
func (c *Client) takeIdle(key poolKey) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	links := c.idle[key]
	if len(links) == 0 {
		return nil
	}
	link := links[len(links)-1]
	c.removeIdleAt(key, len(links)-1)
	return link
}

// removeIdle removes a connection from its pool and reports whether it was still there.
func (c *Client) removeIdle(key poolKey, link *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.idle[key] {
		if other == link {
			c.removeIdleAt(key, i)
			return true
		}
	}
	return false
}

// removeIdleAt removes the connection at index i of a pool; the caller holds mu.
func (c *Client) removeIdleAt(key poolKey, i int) {
	links := c.idle[key]
	c.idle[key] = append(links[:i], links[i+1:]...)
	if len(c.idle[key]) == 0 {
		delete(c.idle, key)
	}
	c.idleCount--
}
