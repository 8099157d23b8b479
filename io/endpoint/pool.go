package endpoint

import "time"

// park keeps a connection for later calls and watches it: one that speaks or closes while idle is dropped.
func (c *Client) park(key poolKey, link *conn) {
	link.used = time.Now()
	link.setDeadline(link.used.Add(c.config.IdleKeep))
	link.watched = make(chan error, 1)
	c.mu.Lock()
	if c.count >= c.config.MaxIdle {
		c.mu.Unlock()
		link.close()
		return
	}
	c.count++
	c.idle[key] = append(c.idle[key], link)
	c.mu.Unlock()
	go c.watch(key, link)
}

// watch waits for the first byte or the end of an idle connection; either makes it useless.
func (c *Client) watch(key poolKey, link *conn) {
	_, err := link.reader.Peek(1)
	if c.remove(key, link) {
		link.close()
		return
	}
	link.watched <- err
}

// unpark takes the connection that was used last, or nil.
func (c *Client) unpark(key poolKey) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	links := c.idle[key]
	if len(links) == 0 {
		return nil
	}
	link := links[len(links)-1]
	c.forget(key, len(links)-1)
	return link
}

func (c *Client) remove(key poolKey, link *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.idle[key] {
		if other == link {
			c.forget(key, i)
			return true
		}
	}
	return false
}

func (c *Client) forget(key poolKey, i int) {
	links := c.idle[key]
	c.idle[key] = append(links[:i], links[i+1:]...)
	if len(c.idle[key]) == 0 {
		delete(c.idle, key)
	}
	c.count--
}
