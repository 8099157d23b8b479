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
	lapses  uint64    // lapses counts the times from which on earlier attempts may have lost their places.
}

func (c *counted) set(session cell.Session, echoed time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if session != c.session {
		c.lapses++
	}
	c.session, c.echoed = session, echoed
}

// lapse notes that rivals of the dispatcher may grant the places of all attempts so far.
func (c *counted) lapse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lapses++
}

func (c *counted) get() (lapses uint64, echoed time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lapses, c.echoed
}

// hold returns the hold of an attempt that is granted in the present session.
func (c *counted) hold(valid time.Duration) Hold {
	lapses, _ := c.get()
	return Hold{counted: c, lapses: lapses, valid: valid}
}

// Hold tells whether the dispatcher that granted an attempt still counts it. It
// may be used by many goroutines.
type Hold struct {
	counted *counted
	lapses  uint64
	valid   time.Duration
}

// Lapsed tells that another attempt may have the place by now.
func (h Hold) Lapsed() bool {
	lapses, _ := h.counted.get()
	return lapses != h.lapses
}

// Confirmed tells that the attempt was counted so lately that it may go to the endpoint.
func (h Hold) Confirmed(now time.Time) bool {
	lapses, echoed := h.counted.get()
	return lapses == h.lapses && now.Sub(echoed) < h.valid
}
