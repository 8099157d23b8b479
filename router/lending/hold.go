package lending

import (
	"sync"
	"time"

	"ryelug/core/cell"
)

// counted is what the entry knows of its session in a cell. The coordinator
// writes it; the goroutines of requests read it.
type counted struct {
	mu      sync.Mutex
	session cell.Session
	echoed  time.Time // echoed is when the dispatcher counted this entry's attempts for certain.
}

func (c *counted) set(session cell.Session, echoed time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session, c.echoed = session, echoed
}

func (c *counted) get() (cell.Session, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session, c.echoed
}

// hold returns the hold of an attempt that is granted in the present session.
func (c *counted) hold(valid time.Duration) Hold {
	session, _ := c.get()
	return Hold{counted: c, session: session, valid: valid}
}

// Hold tells whether the dispatcher that granted an attempt still counts it. It
// may be used by many goroutines.
type Hold struct {
	counted *counted
	session cell.Session
	valid   time.Duration
}

// Lapsed tells that the session of the grant has ended, so that another attempt may have the place.
func (h Hold) Lapsed() bool {
	session, _ := h.counted.get()
	return session != h.session
}

// Confirmed tells that the attempt was counted so lately that it may go to the endpoint.
func (h Hold) Confirmed(now time.Time) bool {
	session, echoed := h.counted.get()
	return session == h.session && now.Sub(echoed) < h.valid
}
