package caller

import (
	"time"

	"ryelug/core/holding"
)

// endHold releases the bytes that a request holds; h is nil if it holds none.
func (s *Server) endHold(h *holding.Holder) {
	if h != nil {
		s.config.Budget.End(h)
	}
}

// evictRead ends the read of a body.
func (c *conn) evictRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	_ = c.SetReadDeadline(pastDeadline)
}

// limitRead sets the read deadline for a part of a body, unless that is evicted.
func (c *conn) limitRead(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evicted {
		_ = c.SetReadDeadline(deadline)
	}
}

// limitRaw sets the number of bytes on the wire that the request which is being read may take; zero is no limit.
func (c *conn) limitRaw(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rawLimit = bytes
}

// hasTimedOut reports whether the last read failed because its deadline had passed.
func (c *conn) hasTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return isTimeout(c.progress.readErr)
}
