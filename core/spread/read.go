package spread

import (
	"bytes"
	"fmt"
	"time"

	"ryelug/core/candidate"
	"ryelug/core/config"
)

const (
	firstBackoff    = time.Second
	retriesPerCheck = 4 // retriesPerCheck is how much faster a watcher reads again after a failure.
)

// scheduleRead reads the root when it is due: as a watcher regularly, otherwise when news are old.
func (m *Machine) scheduleRead() {
	if m.reading > 0 {
		m.readAgain()
		return
	}
	if m.now.Before(m.readAt) {
		return
	}
	if !m.watching && !m.isStale() {
		m.readAt = m.heard.Add(m.config.Stale + m.jitter(m.spreadOut()))
		return
	}
	m.readRoot()
}

func (m *Machine) readRoot() {
	m.reading++
	m.startedAt = m.now
	m.do(&ReadRoot{Began: m.now})
}

// readAgain starts a second read beside one that hangs: its connection may be silent for good.
func (m *Machine) readAgain() {
	if m.reading < maxReads && m.age(m.startedAt) >= secondRead {
		m.readRoot()
	}
}

// isStale reports whether the news are so old that this router reads for itself.
func (m *Machine) isStale() bool {
	return m.root.Generation == 0 || m.age(m.heard) >= m.config.Stale
}

// spreadOut is the time over which the routers of this data centre spread their reads.
func (m *Machine) spreadOut() time.Duration {
	return max(minJitter, time.Duration(m.roles.Size())*jitterPerMember)
}

func (m *Machine) rootRead(e *RootRead) {
	if !e.Watched {
		m.reading--
	}
	m.failures = 0
	m.contact, m.heard = m.now, m.now
	m.readAt = m.startedAt.Add(m.config.Check)
	if !m.watching {
		m.confirmAt = m.now // The neighbours need not read as well.
		m.readAt = m.now.Add(m.config.Stale + m.jitter(m.spreadOut()))
	}
	m.dropRumour()
	if !e.Same {
		m.held = e.Root
	}
	if len(e.Root) > 0 {
		m.consider(e.Root, "")
	}
	if !e.Watched && e.Began.After(m.adoptedAt) {
		m.reportOlder()
	}
}

// reportOlder reports a platform that holds another root than one above the
// generation in force; only a read that began after the adoption shows it.
func (m *Machine) reportOlder() {
	root, err := config.ParseRoot(m.held)
	if err != nil || root.Generation > m.root.Generation || bytes.Equal(m.held, m.rawRoot) || m.isBad(m.held) {
		return
	}
	m.reject(m.held, root.Generation, fmt.Errorf("the platform holds generation %d, which is not above generation %d in force; apply with -above %d",
		root.Generation, m.root.Generation, m.root.Generation))
}

// dropRumour forgets a generation that no peer gave and that the platform was asked about.
func (m *Machine) dropRumour() {
	if m.pending != nil && !m.pending.HasRoot() && m.pending.From == "" {
		m.pending = nil
	}
}

// readSoon brings the next read forward, unless the last ones failed.
func (m *Machine) readSoon() {
	if m.failures > 0 {
		return
	}
	m.heard = time.Time{}
	if soon := m.now.Add(m.jitter(minJitter)); soon.Before(m.readAt) {
		m.readAt = soon
	}
}

func (m *Machine) rootFailed() {
	m.reading--
	m.dropRumour()
	m.failures++
	if m.watching {
		m.readAt = m.now.Add(m.config.Check / retriesPerCheck)
		return
	}
	wait := min(maxBackoff, firstBackoff<<min(m.failures, 10))
	m.readAt = m.now.Add(wait/2 + m.jitter(wait))
}

// adopt puts a complete candidate in force if it is whole, valid and higher.
func (m *Machine) adopt(c *candidate.Candidate) {
	m.pending = nil
	if c.Root.Generation <= m.root.Generation {
		return
	}
	parts := c.Parts(m.parts)
	doc, err := config.Join(c.Root, parts)
	if err != nil {
		m.reject(c.Raw, c.Root.Generation, err)
		return
	}
	m.root, m.rawRoot, m.parts = c.Root, c.Raw, parts
	m.adoptedAt = m.now
	m.do(&Adopt{Root: c.Root, Document: doc})
	m.rejects.Forget(c.Root.Generation)
	m.acknowledge()
}

// reject remembers a root that can't be adopted and reports it once.
func (m *Machine) reject(raw []byte, generation uint64, err error) {
	m.rejects.Add(m.now, raw, generation)
	m.do(&Report{Generation: generation, Err: err})
}

// isBad reports whether a root was rejected before, and if so drops the question for it.
func (m *Machine) isBad(raw []byte) bool {
	generation, found := m.rejects.See(m.now, raw)
	if found && m.pending != nil && !m.pending.HasRoot() && m.pending.Generation == generation {
		m.pending = nil
	}
	return found
}
