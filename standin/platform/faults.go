package platform

import (
	"sync"
	"time"
)

// Faults says what goes wrong; the zero value is a platform that works.
type Faults struct {
	Down        bool          // Down drops every connection without an answer and ends watches.
	Slow        time.Duration // Slow delays every call.
	LoseAnswers int           // LoseAnswers is how many of the next writes take effect unanswered; negative for all.
	SilentWatch bool          // SilentWatch lets open watches and new ones say nothing.
	LagList     time.Duration // LagList is how old the lists of hosts are.
}

// Calls counts the calls that have arrived.
type Calls struct {
	Reads   int64
	Lists   int64
	Writes  int64
	Watches int64
}

// Total returns the sum of all calls.
func (c Calls) Total() int64 {
	return c.Reads + c.Lists + c.Writes + c.Watches
}

// control holds faults and counters.
type control struct {
	mu     sync.Mutex
	faults Faults
	calls  Calls
	silent uint64 // silent is the number of the newest watch that has been silenced.
	opened uint64 // opened is the number of watches so far.
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.control.mu.Lock()
	s.control.faults = f
	s.control.mu.Unlock()
	s.store.wake()
}

// SilenceWatches lets all open watches go silent for good; new ones work.
func (s *Server) SilenceWatches() {
	s.control.mu.Lock()
	defer s.control.mu.Unlock()
	s.control.silent = s.control.opened
}

// Calls returns the counts of calls so far.
func (s *Server) Calls() Calls {
	s.control.mu.Lock()
	defer s.control.mu.Unlock()
	return s.control.calls
}

func (c *control) present() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

func (c *control) count(counter func(*Calls) *int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*counter(&c.calls)++
}

// losesAnswer reports whether the answer of this write is to be lost.
func (c *control) losesAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.LoseAnswers > 0 {
		c.faults.LoseAnswers--
		return true
	}
	return c.faults.LoseAnswers < 0
}

func (c *control) openWatch() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened++
	return c.opened
}

func (c *control) isSilent(watch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.SilentWatch {
		c.silent = c.opened
	}
	return watch <= c.silent
}

// wake lets all watches look at the faults again.
func (s *store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.written)
	s.written = make(chan struct{})
}
