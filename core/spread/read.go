package spread

import (
	"maps"
	"time"

	"ryelug/core/config"
)

const (
	firstBackoff    = time.Second
	retriesPerCheck = 4 // retriesPerCheck is how much faster a watcher reads again after a failure.
)

// scheduleRead reads the root when it is due: as a watcher regularly, otherwise when news are old.
func (m *Machine) scheduleRead() {
	if m.reading || m.now.Before(m.readAt) {
		return
	}
	if !m.watching && !m.isStale() {
		m.readAt = m.heard.Add(m.config.Stale + m.jitter(m.spreadOut()))
		return
	}
	m.reading, m.startedAt = true, m.now
	m.do(&ReadRoot{})
}

// isStale reports whether the news are so old that this router reads for itself.
func (m *Machine) isStale() bool {
	return m.root.Generation == 0 || m.age(m.heard) >= m.config.Stale
}

// spreadOut is the time over which the routers of this data centre spread their reads.
func (m *Machine) spreadOut() time.Duration {
	return max(minJitter, time.Duration(len(m.members))*jitterPerMember)
}

func (m *Machine) rootRead(e *RootRead) {
	if !e.Watched {
		m.reading = false
	}
	m.failures = 0
	m.contact, m.heard = m.now, m.now
	m.readAt = m.startedAt.Add(m.config.Check)
	if !m.watching {
		m.confirmAt = m.now // The neighbours need not read as well.
		m.readAt = m.now.Add(m.config.Stale + m.jitter(m.spreadOut()))
	}
	m.dropRumour()
	if len(e.Root) > 0 {
		m.consider(e.Root, "")
	}
}

// dropRumour forgets a generation that no peer gave and that the platform was asked about.
func (m *Machine) dropRumour() {
	if m.pending != nil && m.pending.raw == nil && m.pending.from == "" {
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
	m.reading = false
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
func (m *Machine) adopt(c *candidate) {
	m.pending = nil
	if c.root.Generation <= m.root.Generation {
		return
	}
	doc, err := config.Join(c.root, c.parts)
	if err != nil {
		m.reject(c.raw, c.root.Generation, err)
		return
	}
	m.root, m.rawRoot, m.parts = c.root, c.raw, c.parts
	m.do(&Adopt{Root: c.root, Document: doc})
	maps.DeleteFunc(m.bad, func(_ string, b *badRoot) bool { return b.generation <= c.root.Generation })
	m.acknowledge()
}

// reject remembers a root that can't be adopted and reports it once.
func (m *Machine) reject(raw []byte, generation uint64, err error) {
	m.bad[config.Hash(raw)] = &badRoot{generation: generation, seenAt: m.now}
	m.do(&Report{Generation: generation, Err: err})
}

// isBad reports whether a root was rejected before, and if so drops the question for it.
func (m *Machine) isBad(raw []byte) bool {
	known, found := m.bad[config.Hash(raw)]
	if !found {
		return false
	}
	known.seenAt = m.now
	if m.pending != nil && m.pending.raw == nil && m.pending.generation == known.generation {
		m.pending = nil
	}
	return true
}

// isRejected reports whether the root of a generation was found bad a short time ago.
func (m *Machine) isRejected(generation uint64) bool {
	for _, b := range m.bad {
		if b.generation == generation && m.age(b.seenAt) < badRetry {
			return true
		}
	}
	return false
}
